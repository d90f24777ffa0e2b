import t from 'tap';
import fc from 'fast-check';
import {Lease} from './lease.ts';
import {ManualClock} from '#clock';
import {createRandom} from '#core';
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
