import t from 'tap';
import fc from 'fast-check';
import {Lease} from './lease.ts';
import {ManualClock} from '#clock';
import {createRandom} from '#core';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const telemetry = createTelemetry({level: 'silent'});

function makeLease(clock: ManualClock, platform: PlatformStandin, holder: string, seed = 1): Lease {
	return new Lease('p', {
		platform, clock, random: createRandom(seed), telemetry, holder,
	});
}

/** Two instances that may hold the lease. */
function start() {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	return {
		clock, platform, a: makeLease(clock, platform, 'a'), b: makeLease(clock, platform, 'b', 2),
	};
}

async function refresh(clock: ManualClock, lease: Lease): Promise<void> {
	const done = lease.refresh(true);
	await clock.advance(50);
	await done;
}

t.test('a free lease is taken at once', async t => {
	const clock = new ManualClock();
	const lease = makeLease(clock, new PlatformStandin(clock), 'a');
	await refresh(clock, lease);
	t.ok(lease.isHeld);
	t.equal(lease.fencing, 1);
});

t.test('a successor waits the term and the guard', async t => {
	const {clock, a, b} = start();
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

t.test('a released lease is taken at once', async t => {
	const {clock, a, b} = start();
	await refresh(clock, a);
	const released = a.release();
	await clock.advance(50);
	await released;
	await refresh(clock, b);
	t.ok(b.isHeld);
	t.notOk(a.isHeld);
	t.equal(b.fencing, 2);
});

t.test('a lost answer to the taking is recognised', async t => {
	const {clock, platform, a} = start();
	platform.loseAnswers(1);
	await refresh(clock, a);
	t.ok(a.isHeld);
});

t.test('an outage lets the term run out', async t => {
	const {clock, platform, a} = start();
	await refresh(clock, a);
	platform.setDown(true);
	await clock.advance(5900);
	await refresh(clock, a);
	await clock.advance(100);
	t.notOk(a.isHeld);
});

t.test('a holder that has lapsed does not renew over its successor', async t => {
	const {clock, a, b} = start();
	await refresh(clock, a);
	await refresh(clock, b);
	await clock.advance(8100);
	await refresh(clock, b);
	await refresh(clock, a);
	t.ok(b.isHeld);
	t.notOk(a.isHeld);
});

type Move = Readonly<{who: number; waitMs: number; fault: 'none' | 'lose' | 'down' | 'up'; release: boolean}>;

const moves: fc.Arbitrary<Move[]> = fc.array(fc.record({
	who: fc.nat(2),
	waitMs: fc.constantFrom(10, 500, 2000, 5000, 9000),
	fault: fc.constantFrom('none', 'none', 'lose', 'down', 'up'),
	release: fc.boolean(),
}), {maxLength: 40});

t.test('two instances never hold it at the same time, and fencing numbers rise', async () => {
	await fc.assert(fc.asyncProperty(moves, async list => {
		const clock = new ManualClock();
		const platform = new PlatformStandin(clock);
		const leases = ['a', 'b', 'c'].map((name, index) => makeLease(clock, platform, name, index + 1));
		let highest = 0;
		for (const {who, waitMs, fault, release} of list) {
			if (fault === 'lose') {
				platform.loseAnswers(1);
			} else if (fault !== 'none') {
				platform.setDown(fault === 'down');
			}

			const lease = leases[who]!;
			const wasHeld = lease.isHeld;
			const done = release && wasHeld ? lease.release() : lease.refresh(true);
			await clock.advance(50);
			await done;
			if (leases.filter(other => other.isHeld).length > 1) {
				return false;
			}

			if (lease.isHeld && !wasHeld) {
				if (lease.fencing <= highest) {
					return false;
				}

				highest = lease.fencing;
			}

			await clock.advance(waitMs);
		}

		return true;
	}), {seed: 21, numRuns: 200});
});
