import {Buffer} from 'node:buffer';
import t, {type Test} from 'tap';
import {digestKey} from '#admission';
import {ManualClock} from '#clock';
import {publishFragments} from '#configuration';
import {
	createRandom, prepareHash, type AnswerEvent, type TargetLink,
} from '#core';
import {createRouter} from '#node';
import {
	EngineStandin, PeerNetworkStandin, PlatformStandin, createAnswerSlices,
} from '#standins';
import {createTelemetry} from '#telemetry';

t.before(prepareHash);

/** With seeds 41, 71 and 111 three targets crashed when ties between targets were broken at random. */
const seeds = [1, 41, 71, 111, 181, 191];
/** Interval at which crashed engines are restarted, in milliseconds. */
const restartIntervalMs = 3000;

const names = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
const file = {
	service: 'stock',
	pools: [{
		name: 'language', kind: 'engine', model: 'm', weights: 'v1', targets: names.map((name, index) => ({name, address: `10.0.0.${index + 1}:1`, zone: 'esbjerg'})),
	}],
	routes: [{name: 'chat', pool: 'language'}],
	customers: [{
		name: 'installer', keyDigests: [digestKey('key')], routes: ['chat'], limit: {requestsPerSecond: 1000, concurrent: 1000},
	}],
};

async function start(count: number, seed: number) {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	const network = new PeerNetworkStandin(clock);
	const engines = new Map(names.map((name, index) => [name, new EngineStandin(clock, {seed: seed + index, model: 'm', weights: 'v1'})]));
	const publishing = publishFragments(platform, [{file: 'stock.json', text: JSON.stringify(file)}]);
	await clock.advance(100);
	await publishing;
	const routers = Array.from({length: count}, (_, index) => {
		const name = `r${index}`;
		return createRouter({
			name, zone: 'esbjerg', clock, random: createRandom(seed + index), platform, reportPollMs: 100, telemetry: createTelemetry({level: 'silent'}),
			bus: network.join({name, zone: 'esbjerg', incarnation: name}),
			connector: {open: (_pool, target): TargetLink => engines.get(target.name)!},
		});
	});
	await clock.advanceUntil(() => routers.every(router => router.configuration.current !== undefined), 2000);
	await clock.advance(300);
	const send = (router: number, ...contents: readonly string[]) => {
		const work = {
			kind: 'chat', messages: contents.map(content => ({role: 'user', content})), maxTokens: 30, extra: {},
		} as const;
		const events: AnswerEvent[] = [];
		void (async () => {
			for await (const event of routers[router]!.handle({route: 'chat', authorization: 'Bearer key', work}, new AbortController().signal)) {
				events.push(event);
			}
		})();

		return {work, events};
	};

	const countCrashes = () => [...engines.values()].reduce((sum, engine) => sum + engine.crashes, 0);
	return {
		clock, engines, send, countCrashes,
	};
}

const concatBytes = (events: readonly AnswerEvent[]) => Buffer.concat(events.flatMap(event => event.kind === 'data' ? [event.bytes] : []));

async function checkFleet(t: Test, seed: number): Promise<void> {
	const {clock, send, countCrashes} = await start(3, seed);
	const harmless = Array.from({length: 24}, (_, index) => send(index % 3, `question ${index}`));
	const poisonous = [0, 1, 2].map(router => send(router, 'open the gate !!crash!!'));
	await clock.advance(20);
	for (let attempt = 0; attempt < 6; attempt++) {
		await clock.advance(300);
		poisonous.push(send(attempt % 3, 'open the gate !!crash!!'));
	}

	await clock.advance(25_000);
	t.ok(countCrashes() <= 2, `${countCrashes()} crashes`);
	for (const {events} of poisonous) {
		const last = events.at(-1);
		t.equal(last?.kind === 'refused' && last.refusal.reason, 'quarantined');
		// A target that crashed may have run the request, so the refusal must not say that it did not run.
		t.not(last?.kind === 'refused' && last.refusal.ran, 'not_run');
	}

	for (const {work, events} of harmless) {
		t.equal(events.at(-1)?.kind, 'end');
		t.same(concatBytes(events), Buffer.concat(createAnswerSlices(work)));
	}
}

for (const seed of seeds) {
	t.test(`a request that crashes targets crashes at most two, and all other requests are answered (seed ${seed})`, async t => {
		await checkFleet(t, seed);
	});
}

// Guards against a message that crashes engine after engine because requests with it were recognised by their whole content only.
for (const seed of seeds) {
	t.test(`requests that share a message which crashes targets are stopped, and others with their system prompt are answered (seed ${seed})`, async t => {
		const {clock, engines, send, countCrashes} = await start(3, seed);
		for (const engine of engines.values()) {
			let restarts = 0;
			clock.subscribe(restartIntervalMs, () => {
				if (engine.crashes > restarts) {
					restarts = engine.crashes;
					engine.restart();
				}
			});
		}

		const harmless = [];
		const poisonous = [];
		for (let attempt = 0; attempt < 30; attempt++) {
			poisonous.push(send(attempt % 3, 'you are a clerk', 'open the gate !!crash!!', `question ${attempt}`));
			await clock.advance(200);
			harmless.push(send((attempt + 1) % 3, 'you are a clerk', `file ${attempt % 4}`, `question ${attempt}`));
			await clock.advance(800);
		}

		await clock.advance(25_000);
		t.ok(countCrashes() <= 8, `${countCrashes()} crashes`);
		t.ok(poisonous.every(({events}) => events.at(-1)?.kind === 'refused'), 'no request with the message is answered');
		const answered = harmless.slice(10).filter(({events}) => events.at(-1)?.kind === 'end').length;
		t.ok(answered >= 19, `${answered} of 20 later requests answered`);
	});
}
