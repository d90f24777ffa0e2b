import t from 'tap';
import {admitRequest, type AdmissionQuery} from './admit-request.ts';
import {createRandom} from '#core';

const random = createRandom(3);

/** A request for which 510 ms are promised, at engines in full use. */
function createQuery(options: Partial<AdmissionQuery> = {}): AdmissionQuery {
	return {
		queueMs: 0, overtakingFactor: 1, estimateLateQueueMs: () => 10_000, promisedMs: 510, elapsedMs: 0, remainingMs: 3057, random,
		measureUse: () => ({requests: 60, slots: 64, isWaiting: false}), ...options,
	};
}

const decide = (options: Partial<AdmissionQuery>) => admitRequest(createQuery(options)).kind;

// Guards against requests that wait at engines until they miss their deadline, where a refusal at once would cost little.
t.test('three times the capacity: a request that would wait for too long is refused at once', async t => {
	t.equal(decide({queueMs: 300}), 'in_time');
	t.equal(decide({queueMs: 400}), 'refused');
	t.equal(decide({queueMs: 400, measureUse: () => ({requests: 10, slots: 64, isWaiting: true})}), 'refused');
});

// Guards against refusals while the engines have room.
t.test('a burst on engines with spare slots: while fewer than half are in use and nothing waits, no request is refused', async t => {
	for (let requests = 0; requests < 32; requests++) {
		for (const queueMs of [400, 10_000, Infinity]) {
			t.equal(decide({queueMs, measureUse: () => ({requests, slots: 64, isWaiting: false})}), 'spare_slots');
		}
	}
});

t.test('a caller that returns after a refusal: its request is late if its time is over, and is sent only where the wait is short', async t => {
	const returned = {queueMs: 0, elapsedMs: 600, remainingMs: 2457};
	t.equal(decide({...returned, estimateLateQueueMs: () => 100}), 'late');
	t.equal(decide({...returned, estimateLateQueueMs: () => 400}), 'refused');
	t.equal(decide({...returned, remainingMs: 150, estimateLateQueueMs: () => 100}), 'refused', 'it would miss its deadline');
	t.equal(decide({queueMs: 0, elapsedMs: 200}), 'in_time');
});

/** Lists the times after which callers of the same burst are asked to return. */
function listRetryTimes(remainingMs: number, queueMs: number): readonly number[] {
	return Array.from({length: 200}, () => {
		const decision = admitRequest(createQuery({queueMs, remainingMs, elapsedMs: 3057 - remainingMs}));
		return decision.kind === 'refused' ? decision.retryAfterMs : Number.NaN;
	});
}

// Guards against callers that return all at once, or too late.
t.test('callers refused in the same burst return at different times, each while it still would', async t => {
	for (const remainingMs of [3057, 2800, 2400, 1600]) {
		for (const queueMs of [400, 2000, 100_000, Infinity]) {
			const times = listRetryTimes(remainingMs, queueMs);
			t.ok(Math.min(...times) >= 100);
			t.ok(Math.max(...times) <= remainingMs / 3, `${Math.max(...times)} of ${remainingMs} ms`);
			t.ok(Math.max(...times) > Math.min(...times) * 1.7);
		}
	}
});

// Guards against callers that return again and again while capacity is scarce, each time at the cost of an instance's time.
t.test('a caller whose time is half over is not asked to return before its deadline', async t => {
	t.ok(Math.min(...listRetryTimes(1500, 2000)) >= 1500);
	let remainingMs = 3057;
	let returns = 0;
	for (;;) {
		const [retryAfterMs] = listRetryTimes(remainingMs, 2000);
		if (retryAfterMs! > remainingMs / 3) {
			break;
		}

		remainingMs -= retryAfterMs!;
		returns++;
	}

	t.ok(returns <= 6, `${returns} returns`);
});
