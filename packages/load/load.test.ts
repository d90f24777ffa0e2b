import t from 'tap';
import {runLoad} from './run-load.ts';
import {createWorkload} from './workload.ts';
import {ManualClock} from '#clock';

const customers = [{name: 'large', key: 'a', share: 9}, {name: 'small', key: 'b', share: 1}];

function createTestWorkload(seed: number) {
	return createWorkload({
		seed, requestsPerSecond: 50, customers, shiftIntervalMs: 5000,
	});
}

t.test('the same seed gives the same requests', async t => {
	const [first, second, other] = [createTestWorkload(1), createTestWorkload(1), createTestWorkload(2)];
	const requests = Array.from({length: 50}, () => first.next());
	t.same(Array.from({length: 50}, () => second.next()), requests);
	t.notSame(Array.from({length: 50}, () => other.next()), requests);
});

t.test('keeps the rate and the mix of customers, and shifts the most popular dossier', async t => {
	const workload = createTestWorkload(3);
	const requests = Array.from({length: 5000}, () => workload.next());
	t.ok(Math.abs((5000 / (requests.at(-1)!.arrivalMs / 1000)) - 50) < 3);
	const large = requests.filter(request => request.customer.name === 'large').length;
	t.ok(Math.abs((large / 5000) - 0.9) < 0.03);
	const findMostPopularDossier = (fromMs: number) => {
		const counts = new Map<number, number>();
		for (const {dossierIndex, arrivalMs} of requests.filter(({arrivalMs}) => arrivalMs >= fromMs && arrivalMs < fromMs + 5000)) {
			counts.set(dossierIndex, (counts.get(dossierIndex) ?? 0) + 1);
			t.ok(arrivalMs >= fromMs);
		}

		return [...counts].toSorted(([, a], [, b]) => b - a)[0]![0];
	};

	t.equal(findMostPopularDossier(0), 0);
	t.not(findMostPopularDossier(10_000), findMostPopularDossier(0));
});

t.test('measures from the scheduled arrival in an open loop', async t => {
	const clock = new ManualClock();
	let sent = 0;
	const running = runLoad({
		clock, workload: createTestWorkload(4), durationMs: 1000, promisedMs: 100,
		async send() {
			const delayMs = sent++ % 2 === 0 ? 50 : 5000;
			await clock.sleep(delayMs);
			return {
				result: 'answered', firstTokenAtMs: clock.now(), endAtMs: clock.now(), cachedTokens: 5, promptTokens: 10, target: 'e1',
			};
		},
	});
	await clock.advance(10_000);
	const {total} = await running;
	t.equal(total.sent, total.answered);
	t.ok(total.sent > 30, 'slow responses do not delay later arrivals');
	t.equal(total.inTime, Math.ceil(total.sent / 2));
	t.equal(total.hitRate, 0.5);
	t.ok(total.firstTokenMs.p50 < 60 && total.firstTokenMs.p99 > 4900);
});
