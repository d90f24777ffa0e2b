import fc from 'fast-check';
import t from 'tap';
import {
	commitChange, createObjectStoreClient, type StoreCallKind, type ObjectStoreClient,
} from './mod.ts';
import {ManualClock} from '#clock';
import {createRandom} from '#core';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

function start(options: Readonly<{instances?: number; writes?: number}> = {}) {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	const telemetry = createTelemetry({level: 'silent'});
	const count = {live: options.instances ?? 1};
	const client = createObjectStoreClient({
		platform, clock, random: createRandom(3), telemetry, countInstances: () => count.live,
	}, {rates: {writesPerSecond: options.writes ?? 300, readsPerSecond: 2000}, expectedInstances: 1});
	return {
		clock, platform, telemetry, client, count,
	};
}

async function finish<Value>(clock: ManualClock, promise: Promise<Value>): Promise<Value> {
	let done = false;
	void promise.then(() => {
		done = true;
	});
	await clock.advanceUntil(() => done, 20_000);
	return promise;
}

async function isRead(clock: ManualClock, client: ObjectStoreClient): Promise<boolean> {
	const result = await finish(clock, client.claims.get('k'));
	return result.ok;
}

t.test('keeps to its share', async t => {
	const {clock, platform, client} = start({instances: 4, writes: 40});
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

t.test('serves claims first', async t => {
	const {clock, client} = start({writes: 10});
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

t.test('leaves claims a reserve', async t => {
	const {clock, client} = start({writes: 10});
	for (let index = 0; index < 50; index++) {
		void client.status.put(`s${index}`, 'v');
	}

	await clock.advance(3);
	const claim = await finish(clock, client.claims.put('c', 'v'));
	t.ok(claim.ok);
	t.ok(clock.now() < 10);
});

t.test('keeps its share when peers vanish', async t => {
	const {clock, platform, client, count} = start({instances: 10, writes: 100});
	await finish(clock, client.claims.put('a', 'v'));
	count.live = 1;
	await clock.advance(10_000);
	const before = platform.served.write;
	for (let index = 0; index < 100; index++) {
		void client.claims.put(`k${index}`, 'v');
	}

	await clock.advance(900);
	t.ok(platform.served.write - before <= 20);
});

t.test('opens and closes the breaker', async t => {
	const {clock, platform, client, telemetry} = start();
	platform.setDown(true);
	for (let index = 0; index < 5; index++) {
		await finish(clock, client.claims.get('k'));
	}

	const refused = await finish(clock, client.claims.get('k'));
	t.match(refused, {ok: false, error: {kind: 'unavailable'}});
	t.ok(!refused.ok && refused.error.retryAfterMs! > 0);
	t.equal(telemetry.read('platform_calls_total', {kind: 'claims', result: 'breaker_open'}), 1);
	await clock.advance(500);
	const probes = await finish(clock, Promise.all([client.claims.get('k'), client.claims.get('k')]));
	t.same(probes.map(result => !result.ok && result.error.retryAfterMs === undefined), [true, false]);
	platform.setDown(false);
	await clock.advance(3000);
	t.ok(await isRead(clock, client));
	t.ok(await isRead(clock, client));
});

t.test('probes with no watch', async t => {
	const {clock, platform, client} = start();
	platform.setDown(true);
	for (let index = 0; index < 5; index++) {
		await finish(clock, client.claims.get('k'));
	}

	platform.setDown(false);
	await clock.advance(1000);
	void client.configuration.watch('x', 0, new AbortController().signal);
	const read = await finish(clock, client.claims.get('k'));
	t.ok(read.ok);
});

t.test('takes no abort for an outage', async t => {
	const {clock, client} = start();
	for (let index = 0; index < 6; index++) {
		const controller = new AbortController();
		const watch = client.configuration.watch('x', 0, controller.signal);
		await clock.advance(10);
		controller.abort();
		await watch;
	}

	t.ok(await isRead(clock, client));
});

t.test('pauses when limited', async t => {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock, {writesPerSecond: 10});
	const client = createObjectStoreClient({
		platform, clock, random: createRandom(3), telemetry: createTelemetry({level: 'silent'}), countInstances: () => 1,
	}, {rates: {writesPerSecond: 100, readsPerSecond: 100}, expectedInstances: 1});
	const results = await finish(clock, Promise.all(Array.from({length: 11}, async (_, index) => client.claims.put(`k${index}`, 'v'))));
	const sentMs = clock.now();
	t.equal(results.filter(result => !result.ok).length, 1);
	await finish(clock, client.claims.put('k', 'v'));
	t.ok(clock.now() - sentMs >= 100);
});

t.test('commits once whatever is lost', async t => {
	const writers = fc.array(fc.record({lost: fc.nat(2), waitMs: fc.nat(5)}), {minLength: 1, maxLength: 6});
	await fc.assert(fc.asyncProperty(writers, async list => {
		const clock = new ManualClock();
		const platform = new PlatformStandin(clock);
		const changes = [];
		for (const [index, {lost, waitMs}] of list.entries()) {
			platform.loseAnswers(lost);
			changes.push(commitChange(platform, {key: 'k', value: `nonce ${index}`, ifVersion: 0}));
			await clock.advance(waitMs);
		}

		const results = await finish(clock, Promise.all(changes));
		const stored = await finish(clock, platform.get('k'));
		const winners = results.flatMap((result, index) => result.ok && result.value.kind === 'committed' ? [`nonce ${index}`] : []);
		return stored.ok && winners.length === 1 && stored.value?.value === winners[0] && stored.value?.version === 1;
	}), {seed: 5, numRuns: 100});
	t.pass();
});
