/**
 * Limits of customers over 87 instances with some ten neighbours each. 129 callers
 * of 16 customers, three of them large, send at 1/1.8 of the limits; each caller is
 * fixed to one instance, so that a small customer sends through six to eight. Costs
 * are skewed, up to 70,000 tokens; the smallest limit is 95,000 tokens per second.
 */
import t, {type Test} from 'tap';
import {CustomerLimits} from './customer-limits.ts';
import {decodeStatements, encodeStatements} from './_demand-table.ts';
import {LimitFleet, type LimitFleetOptions} from './testing/limit-fleet.ts';
import {ManualClock} from '#clock';
import {createRandom, prepareHash, type WorkLimit} from '#core';
import {createNoopBus, peerMessageSchema} from '#peer-protocol';
import {createTelemetry} from '#telemetry';

/** Time of usual load before what a test brings about, in milliseconds. */
const warmUpMs = 15_000;

/** Time for which the largest bursts last, in milliseconds. */
const minBurstMs = 5000;
const burstSpreadMs = 3000;

/** Time after a burst in which its customer is still served from an empty bucket, in milliseconds. */
const afterBurstMs = 8000;

/** Maximum fraction of the requests within the limit that may be refused in calm operation: two in 10,000. */
const calmRatio = 0.0002;

/** The same while instances fail. */
const failureRatio = 0.06;

t.before(prepareHash);

async function startFleet(test: Test, options: LimitFleetOptions): Promise<LimitFleet> {
	const fleet = new LimitFleet(options);
	test.teardown(() => {
		fleet.close();
	});
	await fleet.run(warmUpMs);
	return fleet;
}

/** One to three customers send four to seven times their usual load for 5 to 8 s. */
async function runBurst(fleet: LimitFleet): Promise<void> {
	const names = [...fleet.limits.keys()];
	const count = 1 + fleet.random.integerBelow(3);
	for (let index = 0; index < count; index++) {
		fleet.factors.set(names[fleet.random.integerBelow(names.length)]!, 4 + (3 * fleet.random.next()));
	}

	await fleet.run(minBurstMs + (burstSpreadMs * fleet.random.next()));
	fleet.factors.clear();
}

/** Checks the bound for every customer and every window, and the refused part of the requests that one bucket for all instances would have admitted, of customers without a burst. */
function checkFleet(test: Test, fleet: LimitFleet, maxRatio: number): void {
	for (const customer of fleet.limits.keys()) {
		const worst = fleet.computeWorstWindow(customer);
		test.ok(worst <= 1, `${customer}: at most ${worst.toFixed(3)} of the bound in any window`);
	}

	const burstMs = new Map<string, number>();
	let within = 0;
	let refused = 0;
	for (const {customer, atMs, isBursting, isWithin, isAdmitted} of fleet.requests) {
		if (isBursting) {
			burstMs.set(customer, atMs);
		} else if (isWithin && atMs >= warmUpMs && atMs - (burstMs.get(customer) ?? Number.NEGATIVE_INFINITY) > afterBurstMs) {
			within++;
			refused += isAdmitted ? 0 : 1;
		}
	}

	test.ok(refused <= within * maxRatio, `${refused} of ${within} requests within the limit were refused`);
}

// Guards against shares that are smaller than one request, as with an even share for each instance.
for (const seed of [11, 12]) {
	t.test(`in calm operation, requests within the limit are admitted, also large ones of small customers; seed ${seed}`, async t => {
		const fleet = await startFleet(t, {seed});
		await fleet.run(40_000);
		checkFleet(t, fleet, calmRatio);
	});
}

// Guards against instances that each admit a burst from what they believe the others leave unused.
for (const seed of [21, 22, 23]) {
	t.test(`bursts of customers stay within the bound, and others are not refused; seed ${seed}`, async t => {
		const fleet = await startFleet(t, {seed});
		for (let count = 0; count < 3; count++) {
			await runBurst(fleet);
			await fleet.run(afterBurstMs);
		}

		checkFleet(t, fleet, 2 * calmRatio);
		const bursting = fleet.requests.filter(({isBursting}) => isBursting);
		const sumCosts = (requests: typeof bursting) => requests.reduce((sum, {cost}) => sum + cost, 0);
		const used = sumCosts(bursting.filter(({isAdmitted}) => isAdmitted)) / sumCosts(bursting.filter(({isWithin}) => isWithin));
		t.ok(used > 0.85, `${used.toFixed(2)} of what one bucket for all instances would admit`);
	});
}

// Guards against instances that take the share of those that they cannot hear.
for (const seed of [31, 32]) {
	t.test(`the bound holds while 35% of the instances are cut off for 12 s; seed ${seed}`, async t => {
		const fleet = await startFleet(t, {seed});
		const cut = fleet.members.map((_member, index) => index).filter(() => fleet.random.next() < 0.35);
		for (const index of cut) {
			fleet.setCut(index, true);
		}

		await fleet.run(2000);
		await runBurst(fleet);
		await fleet.run(3000);
		for (const index of cut) {
			fleet.setCut(index, false);
		}

		await fleet.run(10_000);
		checkFleet(t, fleet, failureRatio);
	});
}

// Guards against restarted instances that claim a share beside those that took over their callers.
t.test('the bound holds while ten instances are killed one after the other and start again, and during a burst then', async t => {
	const fleet = await startFleet(t, {seed: 41});
	for (let count = 0; count < 10; count++) {
		fleet.kill(count * 8, 4000);
		await fleet.run(1500);
	}

	await runBurst(fleet);
	await fleet.run(5000);
	checkFleet(t, fleet, failureRatio);
});

for (const [seed, factor] of [[51, 1], [52, 5]] as const) {
	t.test(`the bound holds while half of the instances are killed at once and start again, at ${factor} times the usual load of two customers; seed ${seed}`, async t => {
		const fleet = await startFleet(t, {seed});
		for (const customer of [...fleet.limits.keys()].slice(0, 2)) {
			fleet.factors.set(customer, factor);
		}

		await fleet.run(1000);
		for (let index = 0; index < fleet.members.length; index += 2) {
			fleet.kill(index, 3000);
		}

		await fleet.run(5000);
		fleet.factors.clear();
		await fleet.run(15_000);
		checkFleet(t, fleet, failureRatio);
	});
}

// Guards against buckets that keep the level of the former limit.
t.test('a limit lowered to a sixth, far below what is sent, binds one window after 3 s', async t => {
	const fleet = await startFleet(t, {seed: 61});
	const customer = 'customer-1';
	const limit = fleet.limits.get(customer)!;
	fleet.setLimit(customer, {...limit, perSecond: limit.perSecond / 6, burst: limit.burst / 6});
	await fleet.run(3000);
	const bindsMs = fleet.clock.now();
	await fleet.run(16_000);
	const worst = fleet.computeWorstWindow(customer, bindsMs);
	t.ok(worst <= 1, `${worst.toFixed(3)} of the bound`);
	t.ok(worst > 0.5, 'and the limit is used');
});

// Guards against an exchange above the allowance of control traffic, or one that exists without limits.
t.test('instances exchange little, and nothing without limits', async t => {
	const fleet = await startFleet(t, {seed: 71});
	const {sentBytes} = fleet;
	await fleet.run(10_000);
	const bytesPerSecond = (fleet.sentBytes - sentBytes) / 10 / fleet.members.length;
	t.ok(bytesPerSecond < 2000, `${Math.round(bytesPerSecond)} bytes per second and instance`);
	fleet.limits.clear();
	for (const {limits} of fleet.members) {
		limits.setLimits(fleet.limits);
	}

	const sentBefore = fleet.sentMessages;
	await fleet.clock.advance(20_000);
	t.equal(fleet.sentMessages, sentBefore, 'nothing is sent without limits');
});

function createAlone(limit: WorkLimit, slack = 0) {
	const clock = new ManualClock();
	const limits = new CustomerLimits({
		clock, random: createRandom(5), telemetry: createTelemetry({level: 'silent'}), bus: createNoopBus(), incarnation: 'one', countInstances: () => 1,
		tolerance: {windowMs: 8000, ratio: 0, slack},
	});
	limits.setLimits(new Map([['ann', limit]]));
	return {clock, limits};
}

const requestLimit: WorkLimit = {
	unit: 'requests', perSecond: 10, burst: 40, plainTokens: 0,
};

t.test('without a tolerance, one instance admits the burst and the rate and no more', async t => {
	const {clock, limits} = createAlone(requestLimit);
	let admitted = 0;
	for (let step = 0; step < 800; step++) {
		admitted += limits.admit('ann', 1) === undefined ? 1 : 0;
		await clock.advance(10);
	}

	t.ok(admitted <= 120 && admitted >= 80, `${admitted} of 800 requests in 8 s`);
	t.equal(limits.admit('bo', 1), undefined, 'a customer without a limit is not limited');
	limits.close();
});

t.test('a refund admits the next request, and a refusal states when to retry', async t => {
	const {limits} = createAlone(requestLimit);
	while (limits.admit('ann', 1) === undefined) {
		// The burst is used up.
	}

	const retryAfterMs = limits.admit('ann', 1)!;
	t.ok(retryAfterMs >= 50 && retryAfterMs <= 4000, String(retryAfterMs));
	limits.refund('ann', 1);
	t.equal(limits.admit('ann', 1), undefined);
	limits.close();
});

// Guards against a customer that is locked out for hours by one request with an absurd cost.
t.test('a request that costs more than the tolerance allows is refused and costs nothing', async t => {
	const {limits} = createAlone({...requestLimit, unit: 'tokens'}, 100);
	t.ok(limits.admit('ann', 1_000_000_000) !== undefined);
	t.equal(limits.admit('ann', 5), undefined);
	limits.close();
});

// Guards against bytes of another build that end a process or enter the sums.
t.test('statements survive the wire, and odd bytes are passed over', async t => {
	const statement = {
		origin: 4_000_000_000, customer: 7, sequence: 65_535, demand: 1024, level: -512, isUrgent: true,
	};
	t.strictSame(decodeStatements(encodeStatements([statement, {...statement, isUrgent: false}])), [statement, {...statement, isUrgent: false}]);
	const random = createRandom(81);
	for (let run = 0; run < 500; run++) {
		const bytes = Uint8Array.from({length: random.integerBelow(60)}, () => random.integerBelow(256));
		for (const {demand, level} of decodeStatements(bytes)) {
			t.ok(Number.isFinite(demand) && demand >= 0 && level <= 0);
		}
	}
});

// Guards against a message that an instance of the previous build refuses, which makes it close the link.
t.test('the message has the fields that the previous build requires, and may lack the new one', async t => {
	const message = {kind: 'demand', sentMs: 5, limits: []};
	t.match(peerMessageSchema.safeParse(message), {success: true, data: message});
	const extended = {...message, customers: encodeStatements([])};
	t.match(peerMessageSchema.safeParse(extended), {success: true, data: message});
	t.match(peerMessageSchema.safeParse({...message, customers: 'text'}), {success: false});
});
