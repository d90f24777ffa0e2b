import t from 'tap';
import {runLoad} from './run-load.ts';
import {createWorkload} from './workload.ts';
import {ManualClock} from '#clock';

const customers = [{name: 'large', key: 'a', share: 9}, {name: 'small', key: 'b', share: 1}];

function make(seed: number) {
	return createWorkload({
		seed, requestsPerSecond: 50, customers, shiftEveryMs: 5000,
	});
}

t.test('the same seed gives the same requests', async t => {
	const [one, two, other] = [make(1), make(1), make(2)];
	const list = Array.from({length: 50}, () => one.next());
	t.same(Array.from({length: 50}, () => two.next()), list);
	t.notSame(Array.from({length: 50}, () => other.next()), list);
});

t.test('rate, mix and hot dossiers', async t => {
	const workload = make(3);
	const list = Array.from({length: 5000}, () => workload.next());
	t.ok(Math.abs((5000 / (list.at(-1)!.atMs / 1000)) - 50) < 3);
	const large = list.filter(request => request.customer.name === 'large').length;
	t.ok(Math.abs((large / 5000) - 0.9) < 0.03);
	const findHot = (fromMs: number) => {
		const counts = new Map<number, number>();
		for (const {dossier, atMs} of list.filter(({atMs}) => atMs >= fromMs && atMs < fromMs + 5000)) {
			counts.set(dossier, (counts.get(dossier) ?? 0) + 1);
			t.ok(atMs >= fromMs);
		}

		return [...counts].toSorted(([, a], [, b]) => b - a)[0]![0];
	};

	t.equal(findHot(0), 0);
	t.not(findHot(10_000), findHot(0));
});

t.test('an open loop counts from the intended time', async t => {
	const clock = new ManualClock();
	let sent = 0;
	const running = runLoad({
		clock, workload: make(4), durationMs: 1000, promisedMs: 100,
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
	t.ok(total.sent > 30, 'slow answers hold no arrival back');
	t.equal(total.inTime, Math.ceil(total.sent / 2));
	t.equal(total.hitRate, 0.5);
	t.ok(total.firstTokenMs.p50 < 60 && total.firstTokenMs.p99 > 4900);
});
