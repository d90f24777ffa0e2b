import fc from 'fast-check';
import t from 'tap';
import {Shares, type LimitAmount} from './shares.ts';
import {ManualClock} from '#clock';
import {PeerNetworkStandin} from '#standins';

const limit: LimitAmount = {requestsPerSecond: 100, concurrent: 21};
const names = ['r1', 'r2', 'r3', 'r4', 'r5'];

function start(latencyMs = 1) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock, {latencyMs});
	const shares = names.map(name => new Shares({
		clock, name, incarnation: `${name}!`, findLimit: () => limit,
		bus: network.join({name, zone: 'a', incarnation: `${name}!`}),
	}));
	for (const each of shares) {
		each.updateInstances(names);
	}

	const sum = () => {
		const parts = shares.map(each => each.computeShare('c', limit));
		return {
			requestsPerSecond: parts.reduce((total, part) => total + part.requestsPerSecond, 0),
			concurrent: parts.reduce((total, part) => total + part.concurrent, 0),
		};
	};

	return {
		clock, network, shares, sum,
	};
}

/** Records 100 arrivals per second at one instance, with 18 requests in progress. */
async function sendLoad(clock: ManualClock, shares: Shares, seconds: number): Promise<void> {
	for (let step = 0; step < seconds * 10; step++) {
		for (let index = 0; index < 10; index++) {
			shares.recordArrival('c', 18);
		}

		await clock.advance(100);
	}
}

t.test('divides the whole limit', async t => {
	const {sum} = start();
	t.same(sum(), limit);
});

t.test('lends unused shares to a busy instance', async t => {
	const {clock, shares, sum} = start();
	await sendLoad(clock, shares[0]!, 5);
	const busy = shares[0]!.computeShare('c', limit);
	t.ok(busy.requestsPerSecond > 85);
	t.ok(busy.concurrent >= 18);
	t.ok(sum().requestsPerSecond <= 100.001);
});

t.test('returns a loan when another instance needs it', async t => {
	const {clock, shares} = start();
	await sendLoad(clock, shares[0]!, 5);
	await sendLoad(clock, shares[1]!, 8);
	t.ok(shares[1]!.computeShare('c', limit).requestsPerSecond > 60);
});

t.test('leaves unreachable peers their shares', async t => {
	const {clock, network, shares} = start();
	network.setIsolated('r1', true);
	await sendLoad(clock, shares[0]!, 5);
	await clock.advance(120_000);
	t.equal(shares[0]!.computeShare('c', limit).requestsPerSecond, 20);
});

t.test('divides the share of an instance that has left', async t => {
	const {clock, network, shares} = start();
	const computeRate = () => shares[0]!.computeShare('c', limit).requestsPerSecond;
	network.leave('r5');
	await clock.advance(120_000);
	t.equal(computeRate(), 20);
	for (let second = 0; second < 70; second++) {
		shares[0]!.updateInstances(names.slice(0, 4));
		await clock.advance(1000);
	}

	t.equal(computeRate(), 25);
});

t.test('shares never add up to more than the limit', async t => {
	const step = fc.record({
		instance: fc.nat(4), action: fc.constantFrom('use', 'use', 'use', 'isolate', 'reconnect'), burst: fc.nat(40), waitMs: fc.nat(900),
	});
	await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 40}), fc.integer({min: 1, max: 2500}), async (steps, latencyMs) => {
		const {clock, network, shares, sum} = start(latencyMs);
		for (const {instance, action, burst, waitMs} of steps) {
			if (action === 'use') {
				for (let index = 0; index < burst; index++) {
					shares[instance]!.recordArrival('c', burst);
				}
			} else {
				network.setIsolated(names[instance]!, action === 'isolate');
			}

			const endMs = clock.now() + waitMs;
			while (clock.now() < endMs) {
				await clock.advance(50);
				const {requestsPerSecond, concurrent} = sum();
				if (requestsPerSecond > 100.001 || concurrent > 21) {
					throw new Error(`${requestsPerSecond} requests/s and ${concurrent} concurrent`);
				}
			}
		}
	}), {seed: 23, numRuns: 150});
	t.pass();
});
