import fc from 'fast-check';
import t from 'tap';
import {
	commitChange, createObjectStoreClient, type ObjectStore, type StoreCallKind, type ObjectStoreClient,
} from './mod.ts';
import {ManualClock} from '#clock';
import {createRandom, fail} from '#core';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

function createClient(options: Readonly<{instances?: number; writes?: number; wrap?: (platform: PlatformStandin) => ObjectStore}> = {}) {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	const telemetry = createTelemetry({level: 'silent'});
	const instances = {live: options.instances ?? 1};
	const client = createObjectStoreClient({
		platform: options.wrap?.(platform) ?? platform, clock, random: createRandom(3), telemetry, countInstances: () => instances.live,
	}, {rates: {writesPerSecond: options.writes ?? 300, readsPerSecond: 2000}, expectedInstances: 1});
	return {
		clock, platform, telemetry, client, instances,
	};
}

async function runUntilDone<Value>(clock: ManualClock, promise: Promise<Value>): Promise<Value> {
	let isDone = false;
	void promise.then(() => {
		isDone = true;
	});
	await clock.advanceUntil(() => isDone, 20_000);
	return promise;
}

async function canRead(clock: ManualClock, client: ObjectStoreClient): Promise<boolean> {
	const result = await runUntilDone(clock, client.claims.get('k'));
	return result.ok;
}

t.test('limits writes to the share of one instance', async t => {
	const {clock, platform, client} = createClient({instances: 4, writes: 40});
	for (let index = 0; index < 100; index++) {
		void client.claims.put(`k${index}`, 'v');
	}

	await clock.advance(500);
	t.ok(platform.served.write <= 10 + 5);
	t.ok(platform.served.write >= 10);
	await clock.advance(500);
	t.ok(platform.served.write <= 10 + 10);
	t.ok(platform.served.write >= 19);
});

t.test('grants calls in the order claims, leases, configuration', async t => {
	const {clock, client} = createClient({writes: 10});
	const order: string[] = [];
	const send = (kind: StoreCallKind) => {
		void client[kind].put(kind, 'v').then(result => result.ok && order.push(kind));
	};

	for (let index = 0; index < 12; index++) {
		send('claims');
	}

	await clock.advance(10);
	order.length = 0;
	send('claims');
	send('status');
	send('configuration');
	send('leases');
	send('claims');
	await clock.advance(2000);
	t.same(order.slice(0, 6), ['claims', 'claims', 'claims', 'claims', 'leases', 'configuration']);
});

t.test('reserves tokens for claims while status calls wait', async t => {
	const {clock, client} = createClient({writes: 10});
	for (let index = 0; index < 50; index++) {
		void client.status.put(`s${index}`, 'v');
	}

	await clock.advance(3);
	const claim = await runUntilDone(clock, client.claims.put('c', 'v'));
	t.ok(claim.ok);
	t.ok(clock.now() < 10);
});

t.test('does not raise its share at once when peers disappear', async t => {
	const {clock, platform, client, instances} = createClient({instances: 10, writes: 100});
	await runUntilDone(clock, client.claims.put('a', 'v'));
	instances.live = 1;
	await clock.advance(10_000);
	const servedBefore = platform.served.write;
	for (let index = 0; index < 100; index++) {
		void client.claims.put(`k${index}`, 'v');
	}

	await clock.advance(900);
	t.ok(platform.served.write - servedBefore <= 20);
});

t.test('breaker opens after five failures, permits one probe and closes after a success', async t => {
	const {clock, platform, client, telemetry} = createClient();
	platform.setDown(true);
	for (let index = 0; index < 5; index++) {
		await runUntilDone(clock, client.claims.get('k'));
	}

	const refused = await runUntilDone(clock, client.claims.get('k'));
	t.match(refused, {ok: false, error: {kind: 'unavailable'}});
	t.ok(!refused.ok && refused.error.retryAfterMs! > 0);
	t.equal(telemetry.getCounter('platform_calls_total', {kind: 'claims', result: 'breaker_open'}), 1);
	await clock.advance(500);
	const results = await runUntilDone(clock, Promise.all([client.claims.get('k'), client.claims.get('k')]));
	t.same(results.map(result => !result.ok && result.error.retryAfterMs === undefined), [true, false]);
	platform.setDown(false);
	await clock.advance(3000);
	t.ok(await canRead(clock, client));
	t.ok(await canRead(clock, client));
});

t.test('a watch is not the probe of an open breaker', async t => {
	const {clock, platform, client} = createClient();
	platform.setDown(true);
	for (let index = 0; index < 5; index++) {
		await runUntilDone(clock, client.claims.get('k'));
	}

	platform.setDown(false);
	await clock.advance(1000);
	void client.configuration.watch('x', 0, new AbortController().signal);
	const read = await runUntilDone(clock, client.claims.get('k'));
	t.ok(read.ok);
});

t.test('aborted watches do not open the breaker', async t => {
	const {clock, client} = createClient();
	for (let index = 0; index < 6; index++) {
		const controller = new AbortController();
		const watch = client.configuration.watch('x', 0, controller.signal);
		await clock.advance(10);
		controller.abort();
		await watch;
	}

	t.ok(await canRead(clock, client));
});

t.test('interrupted watches neither open the breaker nor close it', async t => {
	const {clock, platform, client} = createClient({wrap: store => Object.assign(store, {watch: async () => fail({kind: 'interrupted', detail: 'set by the test'})})});
	const interruptWatches = async () => {
		for (let index = 0; index < 6; index++) {
			await client.configuration.watch('x', 0, new AbortController().signal);
		}
	};

	await interruptWatches();
	t.ok(await canRead(clock, client));
	platform.setDown(true);
	for (let index = 0; index < 4; index++) {
		await runUntilDone(clock, client.claims.get('k'));
	}

	await interruptWatches();
	await runUntilDone(clock, client.claims.get('k'));
	platform.setDown(false);
	t.notOk(await canRead(clock, client), 'the fifth failure in a row has opened it');
});

t.test('pauses calls after the platform answered rate_limited', async t => {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock, {writesPerSecond: 10});
	const client = createObjectStoreClient({
		platform, clock, random: createRandom(3), telemetry: createTelemetry({level: 'silent'}), countInstances: () => 1,
	}, {rates: {writesPerSecond: 100, readsPerSecond: 100}, expectedInstances: 1});
	const results = await runUntilDone(clock, Promise.all(Array.from({length: 11}, async (_, index) => client.claims.put(`k${index}`, 'v'))));
	const sentMs = clock.now();
	t.equal(results.filter(result => !result.ok).length, 1);
	await runUntilDone(clock, client.claims.put('k', 'v'));
	t.ok(clock.now() - sentMs >= 100);
});

t.test('exactly one of several racing updates is committed although answers are lost', async t => {
	const writers = fc.array(fc.record({lostAnswers: fc.nat(2), waitMs: fc.nat(5)}), {minLength: 1, maxLength: 6});
	await fc.assert(fc.asyncProperty(writers, async list => {
		const clock = new ManualClock();
		const platform = new PlatformStandin(clock);
		const changes = [];
		for (const [index, {lostAnswers, waitMs}] of list.entries()) {
			platform.loseResponses(lostAnswers);
			changes.push(commitChange(platform, {key: 'k', value: `nonce ${index}`, ifVersion: 0}));
			await clock.advance(waitMs);
		}

		const results = await runUntilDone(clock, Promise.all(changes));
		const stored = await runUntilDone(clock, platform.get('k'));
		const winners = results.flatMap((result, index) => result.ok && result.value.kind === 'committed' ? [`nonce ${index}`] : []);
		return stored.ok && winners.length === 1 && stored.value?.value === winners[0] && stored.value?.version === 1;
	}), {seed: 5, numRuns: 100});
	t.pass();
});
