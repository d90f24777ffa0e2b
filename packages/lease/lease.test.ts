import t from 'tap';
import fc from 'fast-check';
import {Lease} from './lease.ts';
import {ManualClock} from '#clock';
import {createRandom, fail, succeed} from '#core';
import type {ObjectStore} from '#object-store';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const telemetry = createTelemetry({level: 'silent'});

function createLease(clock: ManualClock, platform: PlatformStandin, holder: string, seed = 1): Lease {
	return new Lease('p', {
		platform, clock, random: createRandom(seed), telemetry, holder,
	});
}

/** Creates the same lease for two instances. */
function createTwoLeases() {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	return {
		clock, platform, a: createLease(clock, platform, 'a'), b: createLease(clock, platform, 'b', 2),
	};
}

async function refresh(clock: ManualClock, lease: Lease): Promise<void> {
	const done = lease.refresh(true);
	await clock.advance(50);
	await done;
}

t.test('a free lease is acquired at once', async t => {
	const clock = new ManualClock();
	const lease = createLease(clock, new PlatformStandin(clock), 'a');
	await refresh(clock, lease);
	t.ok(lease.isHeld);
	t.equal(lease.fencing, 1);
});

t.test('a successor acquires the lease only after the term and the guard time', async t => {
	const {clock, a, b} = createTwoLeases();
	await refresh(clock, a);
	await refresh(clock, b);
	await clock.advance(7800);
	await refresh(clock, b);
	t.notOk(b.isHeld);
	await clock.advance(300);
	await refresh(clock, b);
	t.ok(b.isHeld);
	t.equal(b.fencing, 2);
});

t.test('a released lease is acquired at once', async t => {
	const {clock, a, b} = createTwoLeases();
	await refresh(clock, a);
	const released = a.release();
	await clock.advance(50);
	await released;
	await refresh(clock, b);
	t.ok(b.isHeld);
	t.notOk(a.isHeld);
	t.equal(b.fencing, 2);
});

t.test('a lease is held when only the response to its write was lost', async t => {
	const {clock, platform, a} = createTwoLeases();
	platform.loseResponses(1);
	await refresh(clock, a);
	t.ok(a.isHeld);
});

t.test('the term expires during an outage of the object store', async t => {
	const {clock, platform, a} = createTwoLeases();
	await refresh(clock, a);
	platform.setDown(true);
	await clock.advance(5900);
	await refresh(clock, a);
	await clock.advance(100);
	t.notOk(a.isHeld);
});

t.test('an expired holder does not renew the lease of its successor', async t => {
	const {clock, a, b} = createTwoLeases();
	await refresh(clock, a);
	await refresh(clock, b);
	await clock.advance(8100);
	await refresh(clock, b);
	await refresh(clock, a);
	t.ok(b.isHeld);
	t.notOk(a.isHeld);
});

type Step = Readonly<{instance: number; waitMs: number; fault: 'none' | 'lose' | 'down' | 'up'; shouldRelease: boolean}>;

const stepLists: fc.Arbitrary<Step[]> = fc.array(fc.record({
	instance: fc.nat(2),
	waitMs: fc.constantFrom(10, 500, 2000, 5000, 9000),
	fault: fc.constantFrom('none', 'none', 'lose', 'down', 'up'),
	shouldRelease: fc.boolean(),
}), {maxLength: 40});

t.test('two instances never hold the lease at the same time, and fencing tokens increase', async () => {
	await fc.assert(fc.asyncProperty(stepLists, async steps => {
		const clock = new ManualClock();
		const platform = new PlatformStandin(clock);
		const leases = ['a', 'b', 'c'].map((name, index) => createLease(clock, platform, name, index + 1));
		let highestFencing = 0;
		for (const {instance, waitMs, fault, shouldRelease} of steps) {
			if (fault === 'lose') {
				platform.loseResponses(1);
			} else if (fault !== 'none') {
				platform.setDown(fault === 'down');
			}

			const lease = leases[instance]!;
			const wasHeld = lease.isHeld;
			const done = shouldRelease && wasHeld ? lease.release() : lease.refresh(true);
			await clock.advance(50);
			await done;
			if (leases.filter(other => other.isHeld).length > 1) {
				return false;
			}

			if (lease.isHeld && !wasHeld) {
				if (lease.fencing <= highestFencing) {
					return false;
				}

				highestFencing = lease.fencing;
			}

			await clock.advance(waitMs);
		}

		return true;
	}), {seed: 21, numRuns: 200});
});

/** A store that comes back from an older copy: its epoch rises, and versions of earlier epochs are no conditions. */
class RestoredStore {
	epoch = 1;
	/** Number of coming writes that take effect only in the next epoch, as the store comes back before it gets them. */
	writesInNextEpoch = 0;
	#value: string | undefined;
	#writes = 0;
	#copy: string | undefined;

	takeCopy(): void {
		this.#copy = this.#value;
	}

	restore(): void {
		this.epoch++;
		this.#value = this.#copy;
		this.#writes = 0;
	}

	asStore(clock: ManualClock): ObjectStore {
		const createStored = () => this.#value === undefined
			? undefined
			: {
				key: 'k', value: this.#value, version: (this.epoch * 1000) + this.#writes, revision: this.#writes,
			};
		const platform = new PlatformStandin(clock);
		return {
			getEpoch: () => this.epoch,
			get: async () => succeed(createStored()),
			put: async (_key, value, {ifVersion} = {}) => {
				if (this.writesInNextEpoch > 0) {
					this.writesInNextEpoch--;
					this.restore();
					this.#value = value;
					return fail({kind: 'epoch_changed', detail: 'set by the test'});
				}

				const version = createStored()?.version ?? 0;
				if (ifVersion !== version) {
					return fail({kind: ifVersion !== 0 && ifVersion! < this.epoch * 1000 ? 'epoch_changed' : 'conflict', detail: 'set by the test'});
				}

				this.#value = value;
				this.#writes++;
				return succeed(createStored()!);
			},
			remove: async () => succeed(undefined),
			list: async prefix => platform.list(prefix),
			watch: async (prefix, revision, signal) => platform.watch(prefix, revision, signal),
			listInstances: async () => platform.listInstances(),
		};
	}
}

function createRestoredLeases() {
	const clock = new ManualClock();
	const restored = new RestoredStore();
	const platform = restored.asStore(clock);
	const create = (holder: string, seed: number) => new Lease('p', {
		platform, clock, random: createRandom(seed), telemetry, holder,
	});
	return {
		clock, restored, create, a: create('a', 1), b: create('b', 2),
	};
}

t.test('after the store has lost a term, its token is not given again', async t => {
	const {clock, restored, a, b} = createRestoredLeases();
	await b.observe();
	restored.takeCopy();
	await refresh(clock, a);
	const first = a.fencing;
	restored.restore();
	await clock.advance(20_000);
	await b.checkEpoch();
	await clock.advance(9000);
	await refresh(clock, b);
	t.ok(b.isHeld);
	t.ok(b.fencing > first);
});

t.test('a lease that is free in the copy is acquired only after the term that may be lost', async t => {
	const {clock, restored, a, b} = createRestoredLeases();
	await b.checkEpoch();
	restored.takeCopy();
	await refresh(clock, a);
	restored.restore();
	await b.checkEpoch();
	for (let ms = 0; ms < 7900; ms += 500) {
		await refresh(clock, b);
		t.notOk(b.isHeld);
		await clock.advance(450);
	}

	await clock.advance(200);
	t.notOk(a.isHeld);
	await refresh(clock, b);
	t.ok(b.isHeld);
	t.ok(b.fencing > a.fencing);
});

t.test('a holder keeps the lease that the store has lost, with the same token', async t => {
	const {clock, restored, a, b} = createRestoredLeases();
	await b.checkEpoch();
	restored.takeCopy();
	await refresh(clock, a);
	const {fencing} = a;
	restored.restore();
	await b.checkEpoch();
	for (let step = 0; step < 10; step++) {
		await clock.advance(2000);
		await refresh(clock, a);
		await refresh(clock, b);
		t.ok(a.isHeld);
		t.notOk(b.isHeld);
	}

	t.equal(a.fencing, fencing);
});

t.test('a holder gives the lease up that another instance has acquired since the store came back', async t => {
	const {clock, restored, a, b, create} = createRestoredLeases();
	await refresh(clock, a);
	restored.takeCopy();
	restored.restore();
	b.recordFencing(a.fencing);
	const next = create('b', 3);
	await clock.advance(5000);
	await refresh(clock, next);
	await clock.advance(500);
	t.notOk(next.isHeld, 'the copy names a holder');
	await clock.advance(9000);
	await refresh(clock, next);
	t.ok(next.isHeld);
	await refresh(clock, a);
	t.notOk(a.isHeld);
});

t.test('a write that the store gets in a later epoch does not make a holder', async t => {
	const {clock, restored, a} = createRestoredLeases();
	restored.writesInNextEpoch = 1;
	await refresh(clock, a);
	t.notOk(a.isHeld);
	await a.checkEpoch();
	await clock.advance(9000);
	await refresh(clock, a);
	t.ok(a.isHeld);
	t.ok(a.fencing > 2 * 65_536, 'the token is of the new epoch');
});

t.test('tokens of a later epoch are above all of earlier ones, also where nobody remembers them', async t => {
	const {clock, restored, a, create} = createRestoredLeases();
	restored.takeCopy();
	for (let step = 0; step < 20; step++) {
		await refresh(clock, a);
		await a.release();
	}

	const last = a.fencing;
	restored.restore();
	const restarted = create('a', 5);
	await refresh(clock, restarted);
	t.ok(restarted.isHeld);
	t.ok(restarted.fencing > last);
});

t.test('the next token is above one that a peer or a target has seen, after the term of its holder', async t => {
	const {clock, a} = createTwoLeases();
	a.recordFencing(41);
	await refresh(clock, a);
	t.notOk(a.isHeld, 'the store lacks a term that another instance may hold');
	await clock.advance(8000);
	await refresh(clock, a);
	t.ok(a.isHeld);
	t.equal(a.fencing, 42);
});
