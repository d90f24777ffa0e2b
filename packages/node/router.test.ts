import {Buffer} from 'node:buffer';
import t from 'tap';
import {createRouter} from './router.ts';
import {digestKey} from '#admission';
import {ManualClock} from '#clock';
import {publishFragments} from '#configuration';
import {createNoopBus} from '#peer-protocol';
import {
	createRandom, prepareHash, type AnswerEvent, type TargetLink,
} from '#core';
import {
	EngineStandin, PlatformStandin, ServiceStandin, createAnswerSlices,
} from '#standins';
import {createTelemetry} from '#telemetry';

const serviceFile = {
	service: 'stock',
	pools: [
		{
			name: 'language', kind: 'engine', model: 'm', weights: 'v1', targets: [{name: 'e1', address: '10.0.0.1:1', zone: 'esbjerg'}, {name: 'e2', address: '10.0.0.2:1', zone: 'kolding'}],
		},
		{name: 'ledger', kind: 'service', targets: [{name: 's1', address: '10.0.0.3:1', zone: 'esbjerg'}]},
	],
	routes: [
		{name: 'chat', pool: 'language'},
		{name: 'ledger', pool: 'ledger', calls: [{method: 'POST', path: '/movements', repeatable: false}]},
	],
	customers: [{
		name: 'installer', keyDigests: [digestKey('key')], routes: ['chat', 'ledger'], limit: {requestsPerSecond: 10},
	}],
};

t.before(prepareHash);

async function start() {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	const engines = {
		e1: new EngineStandin(clock, {seed: 1, model: 'm', weights: 'v1'}),
		e2: new EngineStandin(clock, {seed: 2, model: 'm', weights: 'v1'}),
	};
	const targets = {...engines, s1: new ServiceStandin(clock)};
	const byName = new Map<string, TargetLink>(Object.entries(targets));
	const telemetry = createTelemetry({level: 'silent'});
	const publishing = publishFragments(platform, [{file: 'stock.json', text: JSON.stringify(serviceFile)}]);
	await clock.advance(100);
	await publishing;
	const router = createRouter({
		name: 'r1', zone: 'esbjerg', clock, random: createRandom(7), platform, telemetry, reportPollMs: 100, bus: createNoopBus(),
		connector: {open: (_pool, target) => byName.get(target.name)!},
	});
	await clock.advanceUntil(() => router.configuration.current !== undefined, 1000);
	return {
		clock, platform, router, targets, telemetry,
	};
}

async function collectEvents(events: AsyncIterable<AnswerEvent>): Promise<AnswerEvent[]> {
	const list: AnswerEvent[] = [];
	for await (const event of events) {
		list.push(event);
	}

	return list;
}

const chatRequest = {
	route: 'chat', authorization: 'Bearer key', work: {
		kind: 'chat', messages: [{role: 'user', content: 'hej'}], maxTokens: 40, extra: {},
	},
} as const;

function getBytes(events: readonly AnswerEvent[]): Uint8Array {
	return Buffer.concat(events.flatMap(event => event.kind === 'data' ? [event.bytes] : []));
}

t.test('answers a chat completely', async t => {
	const {clock, router} = await start();
	const answer = collectEvents(router.handle(chatRequest, new AbortController().signal));
	await clock.advance(3000);
	const events = await answer;
	t.equal(events.at(-1)?.kind, 'end');
	t.same(getBytes(events), Buffer.concat(createAnswerSlices(chatRequest.work)));
});

t.test('continues on another engine after a crash', async t => {
	const {clock, router, targets} = await start();
	const answer = collectEvents(router.handle(chatRequest, new AbortController().signal));
	await clock.advance(150);
	const busy = targets.e1.attemptedRequestIds.length > 0 ? targets.e1 : targets.e2;
	busy.crash();
	await clock.advance(3000);
	const events = await answer;
	t.equal(events.at(-1)?.kind, 'end');
	t.same(getBytes(events), Buffer.concat(createAnswerSlices(chatRequest.work)));
	t.equal(targets.e1.attemptedRequestIds.length + targets.e2.attemptedRequestIds.length, 2);
});

// Guards against streams that are cut, or not continued, because their route left the configuration.
t.test('a running chat goes on when its route, pool and customer leave the configuration', async t => {
	const {clock, platform, router, targets} = await start();
	const answer = collectEvents(router.handle(chatRequest, new AbortController().signal));
	await clock.advance(150);
	const publishing = publishFragments(platform, [{file: 'stock.json', text: JSON.stringify({service: 'stock'})}]);
	await clock.advance(100);
	const published = await publishing;
	t.ok(published.ok);
	await clock.advanceUntil(() => router.configuration.current?.routes.size === 0, 1000);
	const busy = targets.e1.attemptedRequestIds.length > 0 ? targets.e1 : targets.e2;
	busy.crash();
	await clock.advance(5000);
	const events = await answer;
	t.equal(events.at(-1)?.kind, 'end');
	t.same(getBytes(events), Buffer.concat(createAnswerSlices(chatRequest.work)));
});

t.test('does not repeat a call that is not repeatable after its answer was lost', async t => {
	const {clock, router, targets} = await start();
	targets.s1.loseResponses(1);
	const work = {
		kind: 'call', method: 'POST', path: '/movements', body: new Uint8Array(),
	} as const;
	const answer = collectEvents(router.handle({
		route: 'ledger', authorization: 'Bearer key', idempotencyKey: 'k1', work,
	}, new AbortController().signal));
	await clock.advance(3000);
	const events = await answer;
	const last = events.at(-1);
	t.equal(last?.kind === 'refused' && last.refusal.reason, 'target_lost');
	t.equal(last?.kind === 'refused' && last.refusal.ran, 'unknown');
	t.equal(targets.s1.ledger.length, 1);
});

t.test('refuses a request with an unknown key', async t => {
	const {clock, router, telemetry} = await start();
	const answer = collectEvents(router.handle({...chatRequest, authorization: 'Bearer other'}, new AbortController().signal));
	await clock.advance(10);
	const [event] = await answer;
	t.equal(event?.kind === 'refused' && event.refusal.reason, 'unauthenticated');
	t.equal(telemetry.getCounter('refusals_total', {reason: 'unauthenticated', ran: 'not_run'}), 1);
});
