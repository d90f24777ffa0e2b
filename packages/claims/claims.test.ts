import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {Claims, createClaimKey, parseClaimRecord} from './mod.ts';
import {ManualClock} from '#clock';
import {
	createRandom, createRefusal, type AnswerEvent, type Refusal, type RoutedRequest, type ServiceWork, type TargetCall, type TargetFailure,
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

type Fixture = ReturnType<typeof createFixture>;

function createFixture(count = 2) {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	const ledger: Execution[] = [];
	const services = [1, 2].map(seed => new ServiceStandin(clock, {seed, ledger}));
	const liveIncarnations = new Set<string>();
	const instances = Array.from({length: count}, (_, index) => createInstance({
		clock, platform, services, liveIncarnations,
	}, index + 1));
	return {
		clock, platform, ledger, services, liveIncarnations, instances,
	};
}

type Environment = Readonly<{clock: ManualClock; platform: PlatformStandin; services: readonly ServiceStandin[]; liveIncarnations: Set<string>}>;

/** Creates an instance. After `kill`, its calls to the platform never return. */
function createInstance({clock, platform, services, liveIncarnations}: Environment, seed: number) {
	const random = createRandom(seed);
	const telemetry = createTelemetry({level: 'silent'});
	const incarnation = random.createId();
	const killed = new AbortController();
	const neverResolved = new Promise<never>(() => {
		// A killed process does not continue.
	});
	const callUnlessKilled = async <Value>(call: () => Promise<Value>) => {
		const value = killed.signal.aborted ? neverResolved : await call();
		return killed.signal.aborted ? neverResolved : value;
	};

	liveIncarnations.add(incarnation);
	const claims = new Claims({
		clock, random, telemetry, owner: {name: `r${seed}`, incarnation}, isLive: owner => liveIncarnations.has(owner.incarnation),
		platform: {
			get: async key => callUnlessKilled(async () => platform.get(key)),
			put: async (key, value, options) => callUnlessKilled(async () => platform.put(key, value, options)),
			remove: async (key, options) => callUnlessKilled(async () => platform.remove(key, options)),
			list: async prefix => callUnlessKilled(async () => platform.list(prefix)),
			watch: async (prefix, revision, signal) => callUnlessKilled(async () => platform.watch(prefix, revision, signal)),
			listInstances: async () => callUnlessKilled(async () => platform.listInstances()),
		},
	});
	return {
		claims, telemetry, incarnation,
		async send(key: string, body = 'move 1') {
			const request = createRequest(random.createId(), clock.now(), {key, body});
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
			liveIncarnations.delete(incarnation);
		},
	};
}

const faultRefusals: Readonly<Record<TargetFailure['outcome'], Refusal>> = {
	notSent: createRefusal('no_target'),
	refused: createRefusal('target_refused'),
	failed: createRefusal('target_failed'),
	unknown: createRefusal('target_lost'),
};

/** Tries the services in turn while the request has not run. Yields no final event when aborted. */
async function * runOnServices(services: readonly ServiceStandin[], request: RoutedRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
	let refusal: Refusal = createRefusal('no_target');
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
		chain: [], pieceTokens: [], priority: 0, remainingMs: 1000, resumeOffset: 0, deliveredText: '', shouldUseNewConnection: true, importKeys: [],
	};
	for await (const frame of service.run(call, signal)) {
		if (frame.kind === 'fault') {
			return faultRefusals[frame.outcome];
		}

		yield frame.kind === 'head'
			? {
				kind: 'head', target: 's', status: frame.status, contentType: frame.contentType, cachedTokens: 0, isReplayed: false,
			}
			: frame;
	}

	return 'answered';
}

function createRequest(id: string, nowMs: number, {key, body}: Readonly<{key: string; body: string}>): RoutedRequest {
	const work: ServiceWork = {
		kind: 'call', method: 'POST', path: '/movements', body: Buffer.from(body),
	};
	return {
		id, customer, route, pool, work, isRepeatable: false, idempotencyKey: key, arrivedMs: nowMs, deadlineMs: nowMs + route.timeoutMs,
	};
}

async function advanceUntilResolved<Value>(clock: ManualClock, promise: Promise<Value>, limitMs = 60_000): Promise<Value> {
	let isResolved = false;
	void promise.then(() => {
		isResolved = true;
	});
	await clock.advanceUntil(() => isResolved, limitMs, 10);
	return promise;
}

function formatOutcome(last: AnswerEvent | undefined): string {
	return last?.kind === 'refused' ? `${last.refusal.reason} ${last.refusal.ran}` : last?.kind ?? 'none';
}

async function readState({platform, clock}: Fixture, key: string): Promise<string | undefined> {
	const stored = await advanceUntilResolved(clock, platform.get(createClaimKey('installer', key)));
	return stored.ok && stored.value ? parseClaimRecord(stored.value.value)?.state : undefined;
}

t.test('replays the answer on another instance', async t => {
	const {clock, ledger, instances} = createFixture();
	const first = await advanceUntilResolved(clock, instances[0]!.send('k'));
	await clock.advance(100);
	const second = await advanceUntilResolved(clock, instances[1]!.send('k'));
	t.equal(first.last?.kind, 'end');
	t.equal(second.last?.kind, 'end');
	t.match(second.events[0], {kind: 'head', isReplayed: true});
	t.same(second.events.filter(event => event.kind === 'data').map(({bytes}) => String(bytes)), first.events.filter(event => event.kind === 'data').map(({bytes}) => Buffer.from(bytes).toString()));
	t.equal(ledger.length, 1);
});

t.test('writes twice to the platform for one request', async t => {
	const {clock, platform, instances} = createFixture();
	await advanceUntilResolved(clock, instances[0]!.send('k'));
	await clock.advance(1000);
	t.same(platform.served, {read: 0, write: 2});
});

t.test('joins concurrent requests of one instance without further platform calls', async t => {
	const {clock, platform, ledger, instances} = createFixture();
	const sends = Promise.all([instances[0]!.send('k'), instances[0]!.send('k'), instances[0]!.send('k')]);
	const results = await advanceUntilResolved(clock, sends);
	await clock.advance(1000);
	t.same(results.map(({last}) => last?.kind), ['end', 'end', 'end']);
	t.equal(ledger.length, 1);
	t.same(platform.served, {read: 0, write: 2});
});

t.test('waits for the run on another instance', async t => {
	const {clock, ledger, instances} = createFixture();
	const sends = Promise.all(instances.map(async instance => instance.send('k')));
	const results = await advanceUntilResolved(clock, sends);
	t.same(results.map(({last}) => last?.kind), ['end', 'end']);
	t.equal(ledger.length, 1);
});

t.test('refuses a reused key', async t => {
	const {clock, ledger, instances} = createFixture();
	await advanceUntilResolved(clock, instances[0]!.send('k', 'move 1'));
	await clock.advance(100);
	const other = await advanceUntilResolved(clock, instances[1]!.send('k', 'move 2'));
	t.equal(formatOutcome(other.last), 'idempotency_key_reused not_run');
	t.equal(ledger.length, 1);
});

t.test('recognises its claim when the answer to the write was lost', async t => {
	const fixture = createFixture();
	fixture.platform.loseResponses(1);
	const first = await advanceUntilResolved(fixture.clock, fixture.instances[0]!.send('k'));
	await fixture.clock.advance(100);
	t.equal(first.last?.kind, 'end');
	t.equal(fixture.ledger.length, 1);
	t.same(fixture.platform.served, {read: 1, write: 2});
});

t.test('reports an unknown outcome to a re-send', async t => {
	const {clock, ledger, services, instances} = createFixture();
	services[0]!.loseResponses(1);
	services[1]!.loseResponses(1);
	const first = await advanceUntilResolved(clock, instances[0]!.send('k'));
	await clock.advance(100);
	const second = await advanceUntilResolved(clock, instances[1]!.send('k'));
	t.equal(formatOutcome(first.last), 'target_lost unknown');
	t.equal(formatOutcome(second.last), 'outcome_unknown unknown');
	t.equal(ledger.length, 1);
});

t.test('runs a re-send after a request that did not run', async t => {
	const {clock, ledger, services, instances} = createFixture();
	services[0]!.refuseCalls(4);
	services[1]!.refuseCalls(4);
	const first = await advanceUntilResolved(clock, instances[0]!.send('k'));
	services[0]!.refuseCalls(0);
	services[1]!.refuseCalls(0);
	await clock.advance(100);
	const second = await advanceUntilResolved(clock, instances[1]!.send('k'));
	t.match(formatOutcome(first.last), /not_run/v);
	t.equal(second.last?.kind, 'end');
	t.equal(ledger.length, 1);
});

t.test('refuses while the platform is down', async t => {
	const fixture = createFixture();
	fixture.platform.setDown(true);
	const startMs = fixture.clock.now();
	const first = await advanceUntilResolved(fixture.clock, fixture.instances[0]!.send('k'));
	t.equal(formatOutcome(first.last), 'claims_unavailable not_run');
	t.ok(fixture.clock.now() - startMs <= 1600);
	t.equal(fixture.ledger.length, 0);
	fixture.platform.setDown(false);
	const second = await advanceUntilResolved(fixture.clock, fixture.instances[0]!.send('k'));
	t.equal(second.last?.kind, 'end');
});

t.test('retries the claim during a short outage', async t => {
	const fixture = createFixture();
	fixture.platform.setDown(true);
	const send = fixture.instances[0]!.send('k');
	await fixture.clock.advance(500);
	fixture.platform.setDown(false);
	const {last} = await advanceUntilResolved(fixture.clock, send);
	t.equal(last?.kind, 'end');
});

t.test('records the outcome after an outage', async t => {
	const fixture = createFixture();
	const send = fixture.instances[0]!.send('k');
	await fixture.clock.advanceUntil(() => fixture.ledger.length > 0, 1000);
	fixture.platform.setDown(true);
	const first = await advanceUntilResolved(fixture.clock, send);
	t.equal(first.last?.kind, 'end');
	await fixture.clock.advance(30_000);
	fixture.platform.setDown(false);
	await fixture.clock.advance(10_000);
	t.equal(await readState(fixture, 'k'), 'answered');
	t.equal(fixture.instances[0]!.claims.jobCount, 0);
});

t.test('never runs a request that a dead owner claimed', async t => {
	const fixture = createFixture();
	void fixture.instances[0]!.send('k');
	await fixture.clock.advance(3);
	fixture.instances[0]!.kill();
	const second = await advanceUntilResolved(fixture.clock, fixture.instances[1]!.send('k'));
	t.equal(formatOutcome(second.last), 'claim_in_progress unknown');
	await fixture.clock.advance(10_000);
	const third = await advanceUntilResolved(fixture.clock, fixture.instances[1]!.send('k'));
	t.equal(formatOutcome(third.last), 'outcome_unknown unknown');
	t.equal(await readState(fixture, 'k'), 'unknown');
	t.ok(fixture.ledger.length <= 1);
});

t.test('continues the run when the caller disconnects', async t => {
	const fixture = createFixture();
	const request = createRequest('q', 0, {key: 'k', body: 'move 1'});
	const disconnected = new AbortController();
	const events = fixture.instances[0]!.claims.run(request, disconnected.signal, async function * () {
		await fixture.clock.sleep(50);
		yield {kind: 'end', finish: 'stop'};
	});
	const first = events.next();
	await fixture.clock.advance(20);
	disconnected.abort();
	await advanceUntilResolved(fixture.clock, first);
	await fixture.clock.advance(100);
	t.equal(await readState(fixture, 'k'), 'answered');
});

// Random interleavings of requests, crashes, lost answers and outages.

const step = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('send' as const), instance: fc.nat(2), key: fc.nat(2)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill' as const), instance: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('down' as const), isDown: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('lose' as const), count: fc.integer({min: 1, max: 3})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('delay' as const), count: fc.integer({min: 1, max: 3}), delayMs: fc.nat(3000)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('lag' as const), lagMs: fc.nat(2000)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('loseCall' as const), service: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('silence' as const), service: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('refuse' as const), service: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('crash' as const), service: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('restart' as const), service: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('suspect' as const), instance: fc.nat(2)})},
);
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;
type Answers = Array<Awaited<ReturnType<Fixture['instances'][number]['send']>>>;
type StepHandlers = Readonly<{[Kind in Step['kind']]: (fixture: Fixture, step: Extract<Step, {kind: Kind}>, answers: Answers) => void}>;

const stepHandlers: StepHandlers = {
	send({instances}, {instance, key}, answers) {
		void instances[instance]!.send(`k${key}`, `move ${key}`).then(answer => answers.push(answer));
	},
	kill({instances}, {instance}) {
		instances[instance]!.kill();
	},
	down({platform}, {isDown}) {
		platform.setDown(isDown);
	},
	lose({platform}, {count}) {
		platform.loseResponses(count);
	},
	delay({platform}, {count, delayMs}) {
		platform.delayWrites(count, delayMs);
	},
	lag({platform}, {lagMs}) {
		platform.setReadLag(lagMs);
	},
	loseCall({services}, {service}) {
		services[service]!.loseResponses(1);
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
	// The other instances cannot distinguish a partitioned peer from a dead one.
	suspect({liveIncarnations, instances}, {instance}) {
		liveIncarnations.delete(instances[instance]!.incarnation);
	},
};

t.test('runs each key at most once', async t => {
	const stepLists = fc.array(fc.tuple(step, fc.nat(400)), {minLength: 1, maxLength: 40});
	await fc.assert(fc.asyncProperty(stepLists, async steps => {
		const fixture = createFixture(3);
		const answers: Answers = [];
		for (const [step, waitMs] of steps) {
			const handle = stepHandlers[step.kind] as (fixture: Fixture, step: Step, answers: Answers) => void; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the handler is looked up by the step's own kind
			handle(fixture, step, answers);
			await fixture.clock.advance(waitMs);
		}

		await fixture.clock.advance(15_000);
		checkLedger(fixture.ledger, answers);
	}), {seed: 11, numRuns: 300});
	t.pass();
});

function checkLedger(ledger: readonly Execution[], answers: Answers): void {
	const bodies = ledger.map(({body}) => body);
	if (new Set(bodies).size < bodies.length) {
		throw new Error(`a request ran twice; bodies run: ${bodies.join(', ')}`);
	}

	for (const {request, body, last} of answers) {
		if (last?.kind === 'refused' && last.refusal.ran === 'not_run' && ledger.some(({requestId}) => requestId === request.id)) {
			throw new Error(`a request refused as not run did run: ${last.refusal.reason}`);
		}

		if (last?.kind === 'end' && !bodies.includes(body)) {
			throw new Error('a request was answered, but did not run');
		}
	}
}
