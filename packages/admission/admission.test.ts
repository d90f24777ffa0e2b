import fc from 'fast-check';
import t from 'tap';
import {Admission, type Grant} from './mod.ts';
import {FairQueue} from './_fair-queue.ts';
import {ManualClock} from '#clock';
import type {
	Configuration, Customer, Refusal, RoutedRequest, TargetPool,
} from '#core';
import {createQuietBus} from '#peer-protocol';
import {createTelemetry} from '#telemetry';

const pool: TargetPool = {
	name: 'language', kind: 'engine', pieceTokens: 2000, checksFencing: true, loadsAtOnce: 1, minLoaded: 1, slots: 2,
	targets: [{name: 'e1', address: '10.0.0.1:1', zone: 'a'}],
};
const route = {
	name: 'chat', pool: 'language', firstTokenMs: 1000, tokenGapMs: 39, timeoutMs: 10_000, repeatable: true, calls: [],
} as const;

function makeCustomer(name: string, limit: Partial<Customer['limit']> = {}): Customer {
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
		clock, bus: createQuietBus(), telemetry: createTelemetry({level: 'silent'}), name: 'r1', incarnation: 'r1!',
		getConfiguration: () => configuration, countTargets: () => 1,
	});
	const send = async (customer: Customer) => admission.admit(makeRequest(customer, clock.now()), new AbortController().signal);
	return {clock, admission, send};
}

function makeRequest(customer: Customer, nowMs: number): RoutedRequest {
	return {
		id: 'q', customer, route, pool, repeatable: true, arrivedMs: nowMs, deadlineMs: nowMs + route.timeoutMs,
		work: {
			kind: 'chat', messages: [], maxTokens: 1, extra: {},
		},
	};
}

/** Sends one request every `everyMs`; each holds its slot for 100 ms. Counts what was admitted and refused. */
async function load({clock, send}: ReturnType<typeof start>, rates: ReadonlyMap<Customer, number>, forMs: number) {
	const counts = new Map<Customer, {admitted: number; refused: number; lateMs: number; reasons: Set<string>}>();
	for (let ms = 0; ms < forMs; ms++) {
		for (const [customer, everyMs] of rates) {
			const count = counts.get(customer) ?? {
				admitted: 0, refused: 0, lateMs: 0, reasons: new Set(),
			};
			counts.set(customer, count);
			if (ms % everyMs === 0) {
				const sentMs = clock.now();
				void send(customer).then(result => {
					count.lateMs = Math.max(count.lateMs, clock.now() - sentMs);
					if (result.ok) {
						count.admitted++;
						clock.after(100, () => {
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

t.test('limits the rate', async t => {
	const customer = makeCustomer('a', {requestsPerSecond: 10, burst: 5});
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

t.test('limits concurrency', async t => {
	const customer = makeCustomer('a', {concurrent: 2});
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

t.test('keeps a customer in its share on time', async t => {
	// Four slots of 100 ms serve 40 requests a second.
	const [calm, greedy] = [makeCustomer('calm'), makeCustomer('greedy')];
	const counts = await load(start([calm, greedy]), new Map([[calm, 100], [greedy, 5]]), 10_000);
	t.equal(counts.get(calm)!.refused, 0);
	t.ok(counts.get(calm)!.lateMs <= 200);
	t.ok(counts.get(greedy)!.refused > 1000);
	t.ok(counts.get(greedy)!.admitted > 250);
});

t.test('admits as much under overload', async t => {
	const customer = makeCustomer('a');
	const admitted: number[] = [];
	for (const everyMs of [25, 12, 5]) {
		const counts = await load(start([customer]), new Map([[customer, everyMs]]), 5000);
		admitted.push(counts.get(customer)!.admitted);
		t.ok(counts.get(customer)!.lateMs <= 600);
	}

	t.ok(Math.min(...admitted) >= Math.max(...admitted) * 0.9);
});

t.test('refuses early with a time to come back', async t => {
	const customer = makeCustomer('a');
	const bench = start([customer]);
	await load(bench, new Map([[customer, 5]]), 3000);
	const refusals: Refusal[] = [];
	for (let index = 0; index < 30; index++) {
		void bench.send(customer).then(result => !result.ok && refusals.push(result.error));
	}

	await bench.clock.settle();
	t.ok(refusals.length >= 5);
	t.match(refusals[0], {reason: 'promise_unreachable', ran: 'not_run'});
	t.ok(refusals.every(refusal => refusal.retryAfterMs! >= 100));
});

t.test('forgets idle customers', async t => {
	const customers = Array.from({length: 500}, (_, index) => makeCustomer(`c${index}`));
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

t.test('serves by weight', t => {
	const weights = fc.array(fc.integer({min: 1, max: 5}), {minLength: 2, maxLength: 5});
	fc.assert(fc.property(weights, fc.integer({min: 20, max: 100}), (list, taken) => {
		const queue = new FairQueue();
		for (const [index, weight] of list.entries()) {
			for (let item = 0; item < 200; item++) {
				queue.push({customer: `c${index}`, weight, deadlineMs: item});
			}
		}

		const served = list.map(() => 0);
		for (let turn = 0; turn < taken; turn++) {
			served[Number(queue.take()!.customer.slice(1))]!++;
		}

		const total = list.reduce((sum, weight) => sum + weight, 0);
		return served.every((count, index) => Math.abs(count - (taken * list[index]! / total)) <= list[index]! + 1);
	}), {seed: 3, numRuns: 200});
	t.pass();
	t.end();
});

t.test('serves a customer by deadline', t => {
	const queue = new FairQueue();
	for (const deadlineMs of [30, 10, 20]) {
		queue.push({customer: 'a', weight: 1, deadlineMs});
	}

	t.same([queue.take(), queue.take(), queue.take()].map(item => item?.deadlineMs), [10, 20, 30]);
	t.end();
});
