import fc from 'fast-check';
import t from 'tap';
import {Admission, type Grant} from './mod.ts';
import {FairQueue} from './_fair-queue.ts';
import {ManualClock} from '#clock';
import type {
	Configuration, Customer, Refusal, RoutedRequest, TargetPool,
} from '#core';
import {createNoopBus} from '#peer-protocol';
import {createTelemetry} from '#telemetry';

const pool: TargetPool = {
	name: 'language', kind: 'engine', pieceTokens: 2000, checksFencing: true, loadsAtOnce: 1, minLoaded: 1, slots: 2,
	targets: [{name: 'e1', address: '10.0.0.1:1', zone: 'a'}],
};
const route = {
	name: 'chat', pool: 'language', firstTokenMs: 1000, tokenGapMs: 39, timeoutMs: 10_000, repeatable: true, calls: [],
} as const;

function createCustomer(name: string, limit: Partial<Customer['limit']> = {}): Customer {
	return {
		name, keyDigests: [], routes: ['chat'], weight: 1, priority: 5,
		limit: {
			requestsPerSecond: 1000, burst: 1000, concurrent: 1000, ...limit,
		},
	};
}

function start(customers: readonly Customer[]) {
	const clock = new ManualClock();
	const configuration: Configuration = {
		generation: 1, routes: new Map([['chat', route]]), pools: new Map([['language', pool]]),
		customers: new Map(customers.map(customer => [customer.name, customer])),
	};
	const admission = new Admission({
		clock, bus: createNoopBus(), telemetry: createTelemetry({level: 'silent'}), name: 'r1', incarnation: 'r1!',
		getConfiguration: () => configuration, countTargets: () => 1,
	});
	const send = async (customer: Customer) => admission.admit(createRequest(customer, clock.now()), new AbortController().signal);
	return {clock, admission, send};
}

function createRequest(customer: Customer, nowMs: number): RoutedRequest {
	return {
		id: 'q', customer, route, pool, isRepeatable: true, arrivedMs: nowMs, deadlineMs: nowMs + route.timeoutMs,
		work: {
			kind: 'chat', messages: [], maxTokens: 1, extra: {},
		},
	};
}

/** Sends requests of each customer at its interval in milliseconds. Each request holds its slot for 100 ms. Counts admissions and refusals by customer. */
async function runLoad({clock, send}: ReturnType<typeof start>, intervals: ReadonlyMap<Customer, number>, durationMs: number) {
	const counts = new Map<Customer, {admitted: number; refused: number; maxWaitMs: number; reasons: Set<string>}>();
	for (let ms = 0; ms < durationMs; ms++) {
		for (const [customer, intervalMs] of intervals) {
			const count = counts.get(customer) ?? {
				admitted: 0, refused: 0, maxWaitMs: 0, reasons: new Set(),
			};
			counts.set(customer, count);
			if (ms % intervalMs === 0) {
				const sentMs = clock.now();
				void send(customer).then(result => {
					count.maxWaitMs = Math.max(count.maxWaitMs, clock.now() - sentMs);
					if (result.ok) {
						count.admitted++;
						clock.setTimer(100, () => {
							result.value.release();
						});
					} else {
						count.refused++;
						count.reasons.add(result.error.reason);
					}
				});
			}
		}

		await clock.advance(1);
	}

	return counts;
}

t.test('limits the rate of a customer', async t => {
	const customer = createCustomer('a', {requestsPerSecond: 10, burst: 5});
	const {clock, send} = start([customer]);
	const grants: Grant[] = [];
	for (let index = 0; index < 5; index++) {
		const result = await send(customer);
		if (result.ok) {
			result.value.release();
			grants.push(result.value);
		}
	}

	t.equal(grants.length, 5);
	const refused = await send(customer);
	t.match(refused, {ok: false, error: {reason: 'rate_limited', ran: 'not_run', retryAfterMs: 100}});
	await clock.advance(100);
	t.match(await send(customer), {ok: true});
});

t.test('limits the concurrent requests of a customer', async t => {
	const customer = createCustomer('a', {concurrent: 2});
	const {send} = start([customer]);
	const first = await send(customer);
	t.match(await send(customer), {ok: true});
	t.match(await send(customer), {ok: false, error: {reason: 'concurrency_limited'}});
	t.ok(first.ok);
	if (first.ok) {
		first.value.release();
	}

	t.match(await send(customer), {ok: true});
});

t.test('serves a customer within its share in time while another one floods the pool', async t => {
	// Four slots with requests of 100 ms serve 40 requests per second.
	const [calm, greedy] = [createCustomer('calm'), createCustomer('greedy')];
	const counts = await runLoad(start([calm, greedy]), new Map([[calm, 100], [greedy, 5]]), 10_000);
	t.equal(counts.get(calm)!.refused, 0);
	t.ok(counts.get(calm)!.maxWaitMs <= 200);
	t.ok(counts.get(greedy)!.refused > 1000);
	t.ok(counts.get(greedy)!.admitted > 250);
});

t.test('admits as many requests under overload as at capacity', async t => {
	const customer = createCustomer('a');
	const admitted: number[] = [];
	for (const intervalMs of [25, 12, 5]) {
		const counts = await runLoad(start([customer]), new Map([[customer, intervalMs]]), 5000);
		admitted.push(counts.get(customer)!.admitted);
		t.ok(counts.get(customer)!.maxWaitMs <= 600);
	}

	t.ok(Math.min(...admitted) >= Math.max(...admitted) * 0.9);
});

t.test('refuses at once with a retry time', async t => {
	const customer = createCustomer('a');
	const setup = start([customer]);
	await runLoad(setup, new Map([[customer, 5]]), 3000);
	const refusals: Refusal[] = [];
	for (let index = 0; index < 30; index++) {
		void setup.send(customer).then(result => !result.ok && refusals.push(result.error));
	}

	await setup.clock.runPendingCallbacks();
	t.ok(refusals.length >= 5);
	t.match(refusals[0], {reason: 'promise_unreachable', ran: 'not_run'});
	t.ok(refusals.every(refusal => refusal.retryAfterMs! >= 100));
});

t.test('removes idle customers', async t => {
	const customers = Array.from({length: 500}, (_, index) => createCustomer(`c${index}`));
	const {clock, admission, send} = start(customers);
	for (const customer of customers) {
		const result = await send(customer);
		if (result.ok) {
			result.value.release();
		}
	}

	t.equal(admission.size, 500);
	await clock.advance(80_000);
	t.equal(admission.size, 0);
});

t.test('serves customers by weight', t => {
	const weights = fc.array(fc.integer({min: 1, max: 5}), {minLength: 2, maxLength: 5});
	fc.assert(fc.property(weights, fc.integer({min: 20, max: 100}), (list, taken) => {
		const queue = new FairQueue();
		for (const [index, weight] of list.entries()) {
			for (let item = 0; item < 200; item++) {
				queue.add({customer: `c${index}`, weight, deadlineMs: item});
			}
		}

		const served = list.map(() => 0);
		for (let turn = 0; turn < taken; turn++) {
			served[Number(queue.removeNext()!.customer.slice(1))]!++;
		}

		const total = list.reduce((sum, weight) => sum + weight, 0);
		return served.every((count, index) => Math.abs(count - (taken * list[index]! / total)) <= list[index]! + 1);
	}), {seed: 3, numRuns: 200});
	t.pass();
	t.end();
});

t.test('serves the requests of a customer by deadline', t => {
	const queue = new FairQueue();
	for (const deadlineMs of [30, 10, 20]) {
		queue.add({customer: 'a', weight: 1, deadlineMs});
	}

	t.same([queue.removeNext(), queue.removeNext(), queue.removeNext()].map(item => item?.deadlineMs), [10, 20, 30]);
	t.end();
});
