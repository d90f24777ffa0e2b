import t, {type Test} from 'tap';
import {fetch} from 'undici';
import {createAdminApp} from './app.ts';
import {adminRefusalRules, type AdminRefusalReason} from './refusals.ts';
import {maxPublishBytes} from './_publish.ts';
import {digestKey} from '#admission';
import {createSystemClock} from '#clock';
import {ConfigurationStore} from '#configuration';
import {succeed} from '#core';
import {startHttpServer} from '#http';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const fragment = {
	file: 'stock.json',
	text: JSON.stringify({
		service: 'stock',
		pools: [{name: 'ledger', kind: 'service', targets: [{name: 's1', address: '10.0.0.1:1', zone: 'kolding'}]}],
		routes: [{name: 'book', pool: 'ledger'}],
		customers: [{
			name: 'installer', keyDigests: [digestKey('k')], routes: ['book'], limit: {requestsPerSecond: 1},
		}],
	}),
};

async function start(t: Test, operators: readonly string[] = ['operator']) {
	const clock = createSystemClock();
	const platform = new PlatformStandin(clock, {latencyMs: 0});
	const telemetry = createTelemetry({level: 'silent'});
	const configuration = new ConfigurationStore(platform, clock, telemetry);
	const server = await startHttpServer(createAdminApp({
		name: 'r1', zone: 'kolding', telemetry, configuration, platform, operatorTokenDigests: operators.map(token => digestKey(token)),
		countRunning: () => 0, explain: query => succeed({route: query.route}),
	}), '127.0.0.1:0');
	t.teardown(async () => server.destroy());
	const send = async (method: string, path: string, body?: string, token = 'operator') => fetch(`http://${server.address}${path}`, {
		method, headers: {'content-type': 'application/json', authorization: `Bearer ${token}`}, body,
	});
	const getStatus = async (path: string, token: string) => {
		const {status} = await send('GET', path, undefined, token);
		return status;
	};

	const refuse = async (reason: AdminRefusalReason, answer: Awaited<ReturnType<typeof send>>) => {
		const json = await answer.json();
		t.equal(answer.status, adminRefusalRules[reason].status);
		t.match(json, {error: {code: reason}});
		t.equal(telemetry.read('admin_refusals_total', {reason}), 1);
		return json;
	};

	return {
		platform, configuration, send, refuse, getStatus,
	};
}

t.test('health and metrics are open, the rest is not', async t => {
	const {getStatus, send, refuse} = await start(t);
	t.equal(await getStatus('/healthz', 'none'), 200);
	t.equal(await getStatus('/readyz', 'none'), 503);
	t.equal(await getStatus('/metrics', 'none'), 200);
	await refuse('admin_unauthenticated', await send('GET', '/status', undefined, 'other'));
	t.equal(await getStatus('/status', 'operator'), 200);
});

t.test('without operators nothing is published', async t => {
	const {send, refuse} = await start(t, []);
	await refuse('admin_no_operators', await send('POST', '/configuration', '{}'));
});

t.test('publishes, shows no secrets, and refuses a stale base', async t => {
	const {configuration, send, refuse} = await start(t);
	await refuse('admin_not_configured', await send('GET', '/configuration'));
	const accepted = await send('POST', '/configuration', JSON.stringify({fragments: [fragment]}));
	t.match(await accepted.json(), {generation: 1, services: ['stock']});
	await configuration.refresh();
	const answer = await send('GET', '/configuration');
	const shown = await answer.text();
	t.match(shown, /"keys":1/v);
	t.notMatch(shown, digestKey('k'));
	await refuse('admin_configuration_conflict', await send('POST', '/configuration', JSON.stringify({fragments: [fragment], bases: {stock: 'none'}})));
});

t.test('faults come back by file and field', async t => {
	const {send, refuse} = await start(t);
	const bad = {...fragment, text: fragment.text.replace('"pool":"ledger"', '"pool":"leger"')};
	const json = await refuse('admin_configuration_invalid', await send('POST', '/configuration', JSON.stringify({fragments: [bad]})));
	t.match(json, {error: {faults: [{file: 'stock.json', field: 'routes.0.pool', message: /did you mean "ledger"\?/v}]}});
});

t.test('bounds of the body', async t => {
	const {send, refuse} = await start(t);
	await refuse('admin_body_too_large', await send('POST', '/configuration', `"${'x'.repeat(maxPublishBytes)}"`));
	await refuse('admin_bad_request', await send('POST', '/configuration', JSON.stringify({fragmens: []})));
	await refuse('admin_unknown_path', await send('GET', '/nothing'));
});

t.test('a down platform and a lost answer are told apart', async t => {
	const {platform, send, refuse} = await start(t);
	platform.loseAnswers(100);
	await refuse('admin_outcome_unknown', await send('POST', '/configuration', JSON.stringify({fragments: [fragment]})));
	platform.setDown(true);
	await refuse('admin_platform_unavailable', await send('POST', '/configuration', JSON.stringify({fragments: [fragment]})));
});

t.test('explains', async t => {
	const {send, refuse} = await start(t);
	const answer = await send('POST', '/explain', JSON.stringify({customer: 'installer', route: 'book'}));
	t.same(await answer.json(), {route: 'book'});
	await refuse('admin_bad_request', await send('POST', '/explain', '{"custmer":"a","route":"b"}'));
});
