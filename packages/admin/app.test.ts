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

async function startAdminServer(t: Test, operators: readonly string[] = ['operator']) {
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
	const requestStatusCode = async (path: string, token: string) => {
		const {status} = await send('GET', path, undefined, token);
		return status;
	};

	const checkRefusal = async (reason: AdminRefusalReason, response: Awaited<ReturnType<typeof send>>) => {
		const json = await response.json();
		t.equal(response.status, adminRefusalRules[reason].status);
		t.match(json, {error: {code: reason}});
		t.equal(telemetry.getCounter('admin_refusals_total', {reason}), 1);
		return json;
	};

	return {
		platform, configuration, send, checkRefusal, requestStatusCode,
	};
}

t.test('only health, readiness and metrics need no token', async t => {
	const {requestStatusCode, send, checkRefusal} = await startAdminServer(t);
	t.equal(await requestStatusCode('/healthz', 'none'), 200);
	t.equal(await requestStatusCode('/readyz', 'none'), 503);
	t.equal(await requestStatusCode('/metrics', 'none'), 200);
	await checkRefusal('admin_unauthenticated', await send('GET', '/status', undefined, 'other'));
	t.equal(await requestStatusCode('/status', 'operator'), 200);
});

t.test('refuses to publish when no operator is configured', async t => {
	const {send, checkRefusal} = await startAdminServer(t, []);
	await checkRefusal('admin_no_operators', await send('POST', '/configuration', '{}'));
});

t.test('publishes, shows no secrets, and refuses a stale base', async t => {
	const {configuration, send, checkRefusal} = await startAdminServer(t);
	await checkRefusal('admin_not_configured', await send('GET', '/configuration'));
	const published = await send('POST', '/configuration', JSON.stringify({fragments: [fragment]}));
	t.match(await published.json(), {generation: 1, services: ['stock']});
	await configuration.refresh();
	const response = await send('GET', '/configuration');
	const text = await response.text();
	t.match(text, /"keys":1/v);
	t.notMatch(text, digestKey('k'));
	await checkRefusal('admin_configuration_conflict', await send('POST', '/configuration', JSON.stringify({fragments: [fragment], bases: {stock: 'none'}})));
});

t.test('reports faults by file and field', async t => {
	const {send, checkRefusal} = await startAdminServer(t);
	const invalidFragment = {...fragment, text: fragment.text.replace('"pool":"ledger"', '"pool":"leger"')};
	const json = await checkRefusal('admin_configuration_invalid', await send('POST', '/configuration', JSON.stringify({fragments: [invalidFragment]})));
	t.match(json, {error: {faults: [{file: 'stock.json', field: 'routes.0.pool', message: /did you mean "ledger"\?/v}]}});
});

t.test('refuses bodies that are too large or malformed, and unknown paths', async t => {
	const {send, checkRefusal} = await startAdminServer(t);
	await checkRefusal('admin_body_too_large', await send('POST', '/configuration', `"${'x'.repeat(maxPublishBytes)}"`));
	await checkRefusal('admin_bad_request', await send('POST', '/configuration', JSON.stringify({fragmens: []})));
	await checkRefusal('admin_unknown_path', await send('GET', '/nothing'));
});

t.test('distinguishes an unavailable platform from a lost response', async t => {
	const {platform, send, checkRefusal} = await startAdminServer(t);
	platform.loseResponses(100);
	await checkRefusal('admin_outcome_unknown', await send('POST', '/configuration', JSON.stringify({fragments: [fragment]})));
	platform.setDown(true);
	await checkRefusal('admin_platform_unavailable', await send('POST', '/configuration', JSON.stringify({fragments: [fragment]})));
});

t.test('explains the placement of a request', async t => {
	const {send, checkRefusal} = await startAdminServer(t);
	const response = await send('POST', '/explain', JSON.stringify({customer: 'installer', route: 'book'}));
	t.same(await response.json(), {route: 'book'});
	await checkRefusal('admin_bad_request', await send('POST', '/explain', '{"custmer":"a","route":"b"}'));
});
