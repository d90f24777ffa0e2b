import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {Claims, makeClaimKey, parseRecord} from './mod.ts';
import {ManualClock} from '#clock';
import {
	createRandom, makeRefusal, type AnswerEvent, type Refusal, type RoutedRequest, type ServiceWork, type TargetCall, type TargetFailure,
} from '#core';
import {PlatformStandin, ServiceStandin, type Execution} from '#standins';
import {createTelemetry} from '#telemetry';

const pool = {
	name: 'ledger', kind: 'service', pieceTokens: 1, checksFencing: false, loadsAtOnce: 1, minLoaded: 0, slots: 8,
	targets: [{name: 's1', address: '10.0.0.1:1', zone: 'a'}, {name: 's2', address: '10.0.0.2:1', zone: 'a'}],
} as const;
const route = {
	name: 'ledger', pool: 'ledger', firstTokenMs: 1000, tokenGapMs: 100, timeoutMs: 5000, repeatable: false, calls: [],
} as const;
const customer = {
	name: 'installer', keyDigests: [], routes: ['ledger'], limit: {requestsPerSecond: 10, burst: 10, concurrent: 10}, weight: 1, priority: 0,
} as const;

type Bench = ReturnType<typeof createBench>;

function createBench(count = 2) {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	const ledger: Execution[] = [];
	const services = [1, 2].map(seed => new ServiceStandin(clock, {seed, ledger}));
	const live = new Set<string>();
	const instances = Array.from({length: count}, (_, index) => createInstance({
		clock, platform, services, live,
	}, index + 1));
	return {
		clock, platform, ledger, services, live, instances,
	};
}

type Parts = Readonly<{clock: ManualClock; platform: PlatformStandin; services: readonly ServiceStandin[]; live: Set<string>}>;

/** An instance's claims over the services; once killed it neither sends nor hears anything. */
function createInstance({clock, platform, services, live}: Parts, seed: number) {
	const random = createRandom(seed);
	const telemetry = createTelemetry({level: 'silent'});
	const incarnation = random.id();
	const killed = new AbortController();
	const never = new Promise<never>(() => {
		// A killed process does not go on.
	});
	const guard = async <Value>(call: () => Promise<Value>) => {
		const value = killed.signal.aborted ? never : await call();
		return killed.signal.aborted ? never : value;
	};

	live.add(incarnation);
	const claims = new Claims({
		clock, random, telemetry, owner: {name: `r${seed}`, incarnation}, isLive: owner => live.has(owner.incarnation),
		platform: {
			get: async key => guard(async () => platform.get(key)),
			put: async (key, value, options) => guard(async () => platform.put(key, value, options)),
			remove: async (key, options) => guard(async () => platform.remove(key, options)),
			list: async prefix => guard(async () => platform.list(prefix)),
			watch: async (prefix, revision, signal) => guard(async () => platform.watch(prefix, revision, signal)),
			listInstances: async () => guard(async () => platform.listInstances()),
		},
	});
	return {
		claims, telemetry, incarnation,
		async send(key: string, body = 'move 1') {
			const request = makeRequest(random.id(), clock.now(), {key, body});
			const events: AnswerEvent[] = [];
			for await (const event of claims.run(request, killed.signal, signal => runOnServices(services, request, signal))) {
				events.push(event);
			}

			return {
				request, body, events, last: events.at(-1),
			};
		},
		kill() {
			killed.abort();
			live.delete(incarnation);
		},
	};
}

const faultRefusals: Readonly<Record<TargetFailure['outcome'], Refusal>> = {
	notSent: makeRefusal('no_target'),
	refused: makeRefusal('target_refused'),
	failed: makeRefusal('target_failed'),
	unknown: makeRefusal('target_lost'),
};

/** Tries one member after the other while nothing ran; ends without a word when aborted. */
async function * runOnServices(services: readonly ServiceStandin[], request: RoutedRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
	let refusal: Refusal = makeRefusal('no_target');
	for (const service of services) {
		const result = yield * runOnService(service, request, signal);
		if (result === 'answered' || signal.aborted) {
			return;
		}

		refusal = result;
		if (refusal.ran !== 'not_run') {
			break;
		}
	}

	yield {kind: 'refused', refusal};
}

async function * runOnService(service: ServiceStandin, request: RoutedRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent, 'answered' | Refusal> {
	const call: TargetCall = {
		attemptId: request.id, requestId: request.id, customer: request.customer.name, work: request.work,
		chain: [], pieceTokens: [], priority: 0, remainingMs: 1000, resumeOffset: 0, deliveredText: '', freshConnection: true, importKeys: [],
	};
	for await (const frame of service.run(call, signal)) {
		if (frame.kind === 'fault') {
			return faultRefusals[frame.outcome];
		}

		yield frame.kind === 'head'
			? {
				kind: 'head', target: 's', status: frame.status, contentType: frame.contentType, cachedTokens: 0, replayed: false,
			}
			: frame;
	}

	return 'answered';
}

function makeRequest(id: string, nowMs: number, {key, body}: Readonly<{key: string; body: string}>): RoutedRequest {
	const work: ServiceWork = {
		kind: 'call', method: 'POST', path: '/movements', body: Buffer.from(body),
	};
	return {
		id, customer, route, pool, work, repeatable: false, idempotencyKey: key, arrivedMs: nowMs, deadlineMs: nowMs + route.timeoutMs,
	};
}

async function finish<Value>(clock: ManualClock, promise: Promise<Value>, limitMs = 60_000): Promise<Value> {
	let done = false;
	void promise.then(() => {
		done = true;
	});
	await clock.advanceUntil(() => done, limitMs, 10);
	return promise;
}

function readReason(last: AnswerEvent | undefined): string {
	return last?.kind === 'refused' ? `${last.refusal.reason} ${last.refusal.ran}` : last?.kind ?? 'none';
}

async function readState({platform, clock}: Bench, key: string): Promise<string | undefined> {
	const stored = await finish(clock, platform.get(makeClaimKey('installer', key)));
	return stored.ok && stored.value ? parseRecord(stored.value.value)?.state : undefined;
}

t.test('replays on another instance', async t => {
	const {clock, ledger, instances} = createBench();
	const first = await finish(clock, instances[0]!.send('k'));
	await clock.advance(100);
	const second = await finish(clock, instances[1]!.send('k'));
	t.equal(first.last?.kind, 'end');
	t.equal(second.last?.kind, 'end');
	t.match(second.events[0], {kind: 'head', replayed: true});
	t.same(second.events.filter(event => event.kind === 'data').map(({bytes}) => String(bytes)), first.events.filter(event => event.kind === 'data').map(({bytes}) => Buffer.from(bytes).toString()));
	t.equal(ledger.length, 1);
});

t.test('costs two writes', async t => {
	const {clock, platform, instances} = createBench();
	await finish(clock, instances[0]!.send('k'));
	await clock.advance(1000);
	t.same(platform.served, {read: 0, write: 2});
});

t.test('joins in one instance without a call', async t => {
	const {clock, platform, ledger, instances} = createBench();
	const sends = Promise.all([instances[0]!.send('k'), instances[0]!.send('k'), instances[0]!.send('k')]);
	const results = await finish(clock, sends);
	await clock.advance(1000);
	t.same(results.map(({last}) => last?.kind), ['end', 'end', 'end']);
	t.equal(ledger.length, 1);
	t.same(platform.served, {read: 0, write: 2});
});

t.test('waits for another instance', async t => {
	const {clock, ledger, instances} = createBench();
	const sends = Promise.all(instances.map(async instance => instance.send('k')));
	const results = await finish(clock, sends);
	t.same(results.map(({last}) => last?.kind), ['end', 'end']);
	t.equal(ledger.length, 1);
});

t.test('refuses a reused key', async t => {
	const {clock, ledger, instances} = createBench();
	await finish(clock, instances[0]!.send('k', 'move 1'));
	await clock.advance(100);
	const other = await finish(clock, instances[1]!.send('k', 'move 2'));
	t.equal(readReason(other.last), 'idempotency_key_reused not_run');
	t.equal(ledger.length, 1);
});

t.test('recognises its lost create', async t => {
	const bench = createBench();
	bench.platform.loseAnswers(1);
	const first = await finish(bench.clock, bench.instances[0]!.send('k'));
	await bench.clock.advance(100);
	t.equal(first.last?.kind, 'end');
	t.equal(bench.ledger.length, 1);
	t.same(bench.platform.served, {read: 1, write: 2});
});

t.test('tells an unknown outcome', async t => {
	const {clock, ledger, services, instances} = createBench();
	services[0]!.loseAnswers(1);
	services[1]!.loseAnswers(1);
	const first = await finish(clock, instances[0]!.send('k'));
	await clock.advance(100);
	const second = await finish(clock, instances[1]!.send('k'));
	t.equal(readReason(first.last), 'target_lost unknown');
	t.equal(readReason(second.last), 'outcome_unknown unknown');
	t.equal(ledger.length, 1);
});

t.test('runs again after not run', async t => {
	const {clock, ledger, services, instances} = createBench();
	services[0]!.refuseCalls(4);
	services[1]!.refuseCalls(4);
	const first = await finish(clock, instances[0]!.send('k'));
	services[0]!.refuseCalls(0);
	services[1]!.refuseCalls(0);
	await clock.advance(100);
	const second = await finish(clock, instances[1]!.send('k'));
	t.match(readReason(first.last), /not_run/v);
	t.equal(second.last?.kind, 'end');
	t.equal(ledger.length, 1);
});

t.test('refuses while the platform is down', async t => {
	const bench = createBench();
	bench.platform.setDown(true);
	const startMs = bench.clock.now();
	const first = await finish(bench.clock, bench.instances[0]!.send('k'));
	t.equal(readReason(first.last), 'claims_unavailable not_run');
	t.ok(bench.clock.now() - startMs <= 1600);
	t.equal(bench.ledger.length, 0);
	bench.platform.setDown(false);
	const second = await finish(bench.clock, bench.instances[0]!.send('k'));
	t.equal(second.last?.kind, 'end');
});

t.test('rides out a short outage', async t => {
	const bench = createBench();
	bench.platform.setDown(true);
	const send = bench.instances[0]!.send('k');
	await bench.clock.advance(500);
	bench.platform.setDown(false);
	const {last} = await finish(bench.clock, send);
	t.equal(last?.kind, 'end');
});

t.test('records after an outage', async t => {
	const bench = createBench();
	const send = bench.instances[0]!.send('k');
	await bench.clock.advanceUntil(() => bench.ledger.length > 0, 1000);
	bench.platform.setDown(true);
	const first = await finish(bench.clock, send);
	t.equal(first.last?.kind, 'end');
	await bench.clock.advance(30_000);
	bench.platform.setDown(false);
	await bench.clock.advance(10_000);
	t.equal(await readState(bench, 'k'), 'answered');
	t.equal(bench.instances[0]!.claims.size, 0);
});

t.test('never runs what a dead owner claimed', async t => {
	const bench = createBench();
	void bench.instances[0]!.send('k');
	await bench.clock.advance(3);
	bench.instances[0]!.kill();
	const second = await finish(bench.clock, bench.instances[1]!.send('k'));
	t.equal(readReason(second.last), 'claim_in_progress unknown');
	await bench.clock.advance(10_000);
	const third = await finish(bench.clock, bench.instances[1]!.send('k'));
	t.equal(readReason(third.last), 'outcome_unknown unknown');
	t.equal(await readState(bench, 'k'), 'unknown');
	t.ok(bench.ledger.length <= 1);
});

t.test('goes on when the caller leaves', async t => {
	const bench = createBench();
	const request = makeRequest('q', 0, {key: 'k', body: 'move 1'});
	const left = new AbortController();
	const events = bench.instances[0]!.claims.run(request, left.signal, async function * () {
		await bench.clock.sleep(50);
		yield {kind: 'end', finish: 'stop'};
	});
	const first = events.next();
	await bench.clock.advance(20);
	left.abort();
	await finish(bench.clock, first);
	await bench.clock.advance(100);
	t.equal(await readState(bench, 'k'), 'answered');
});

// Interleavings: sends, crashes, losses and outages in any order.

const step = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('send' as const), instance: fc.nat(2), key: fc.nat(2)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill' as const), instance: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('down' as const), down: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('lose' as const), count: fc.integer({min: 1, max: 3})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('delay' as const), count: fc.integer({min: 1, max: 3}), delayMs: fc.nat(3000)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('lag' as const), lagMs: fc.nat(2000)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('loseCall' as const), service: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('silence' as const), service: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('refuse' as const), service: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('crash' as const), service: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('restart' as const), service: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('forget' as const), instance: fc.nat(2)})},
);
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;
type Answers = Array<Awaited<ReturnType<Bench['instances'][number]['send']>>>;
type StepHandlers = Readonly<{[Kind in Step['kind']]: (bench: Bench, step: Extract<Step, {kind: Kind}>, answers: Answers) => void}>;

const stepHandlers: StepHandlers = {
	send({instances}, {instance, key}, answers) {
		void instances[instance]!.send(`k${key}`, `move ${key}`).then(answer => answers.push(answer));
	},
	kill({instances}, {instance}) {
		instances[instance]!.kill();
	},
	down({platform}, {down}) {
		platform.setDown(down);
	},
	lose({platform}, {count}) {
		platform.loseAnswers(count);
	},
	delay({platform}, {count, delayMs}) {
		platform.delayWrites(count, delayMs);
	},
	lag({platform}, {lagMs}) {
		platform.setReadLag(lagMs);
	},
	loseCall({services}, {service}) {
		services[service]!.loseAnswers(1);
	},
	silence({services}, {service}) {
		services[service]!.silenceCalls(1);
	},
	refuse({services}, {service}) {
		services[service]!.refuseCalls(2);
	},
	crash({services}, {service}) {
		services[service]!.crash();
	},
	restart({services}, {service}) {
		services[service]!.restart();
	},
	// A peer that is merely cut off looks like a dead one.
	forget({live, instances}, {instance}) {
		live.delete(instances[instance]!.incarnation);
	},
};

t.test('runs each key at most once', async t => {
	const steps = fc.array(fc.tuple(step, fc.nat(400)), {minLength: 1, maxLength: 40});
	await fc.assert(fc.asyncProperty(steps, async list => {
		const bench = createBench(3);
		const answers: Answers = [];
		for (const [step, waitMs] of list) {
			const handle = stepHandlers[step.kind] as (bench: Bench, step: Step, answers: Answers) => void; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the handler is looked up by the step's own kind
			handle(bench, step, answers);
			await bench.clock.advance(waitMs);
		}

		await bench.clock.advance(15_000);
		checkLedger(bench.ledger, answers);
	}), {seed: 11, numRuns: 300});
	t.pass();
});

function checkLedger(ledger: readonly Execution[], answers: Answers): void {
	const bodies = ledger.map(({body}) => body);
	if (new Set(bodies).size < bodies.length) {
		throw new Error(`ran twice: ${bodies.join(', ')}`);
	}

	for (const {request, body, last} of answers) {
		if (last?.kind === 'refused' && last.refusal.ran === 'not_run' && ledger.some(({requestId}) => requestId === request.id)) {
			throw new Error(`refused as not run, but ran: ${last.refusal.reason}`);
		}

		if (last?.kind === 'end' && !bodies.includes(body)) {
			throw new Error('answered, but did not run');
		}
	}
}
