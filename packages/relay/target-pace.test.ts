/** The pace of a target that starts or recovers, and loads on which targets come back beside the ways before. */
import t from 'tap';
import {TargetPace} from './target-pace.ts';
import {simulateUnevenLoad, type UnevenLoad} from './testing/uneven-load.ts';
import {createRandom, prepareHash} from '#core';

const slots = 64;

t.before(prepareHash);

function answer(pace: TargetPace, ms: number, nowMs: number, options: Readonly<{expectedMs?: number; inProgress?: number}> = {}): void {
	const {expectedMs = 20, inProgress = 10} = options;
	pace.recordAnswer({
		ms, expectedMs, inProgress, slots,
	}, nowMs);
}

t.test('after a start the window doubles with each answer in time until the target is calm; nothing but answers sets the pace', t => {
	const pace = new TargetPace();
	pace.begin(1000, true);
	const windows: number[] = [];
	for (let nowMs = 1100; pace.window < Infinity; nowMs += 50) {
		pace.recordSent(20, nowMs - 20);
		answer(pace, 20, nowMs);
		windows.push(pace.window);
	}

	t.strictSame(windows, [4, 8, 16, 32, Infinity]);
	t.end();
});

t.test('a refusal halves what the target has in progress; answers to requests sent before it say nothing', t => {
	const pace = new TargetPace();
	pace.recordRefusal(40, slots, 90, 100);
	t.equal(pace.window, 20);
	t.notOk(pace.isMild);
	pace.recordRefusal(40, slots, 95, 101);
	t.equal(pace.window, 20, 'a refusal of the same burst does not count again');
	answer(pace, 50, 120);
	t.equal(pace.window, 20);
	answer(pace, 10, 130);
	t.equal(pace.window, 40);
	t.end();
});

t.test('a rest begins the pace at its end', t => {
	const pace = new TargetPace();
	pace.begin(5000, true);
	answer(pace, 10, 3000);
	t.equal(pace.window, 2, 'an answer during the rest says nothing');
	t.equal(pace.announce(3000), undefined);
	t.strictSame(pace.announce(5100), [2, 100]);
	answer(pace, 10, 5200);
	t.equal(pace.window, 4);
	t.end();
});

t.test('instances share a window smaller than their number by time, and a larger one by requests', t => {
	const pace = new TargetPace();
	t.equal(pace.computeLimit(59, slots, 0), Infinity);
	pace.begin(0, true);
	for (let request = 0; request < 30; request++) {
		pace.recordSent(60, 0);
	}

	t.equal(pace.computeLimit(59, slots, 1000), 0);
	t.equal(pace.computeLimit(59, slots, 1800), 1, '59 instances at one request each 1.8 s keep 2 of 60 ms in progress');
	t.equal(pace.computeLimit(1, slots, 10), 2);
	answer(pace, 10, 20);
	t.equal(pace.computeLimit(2, slots, 20), 2);
	t.end();
});

t.test('late answers in a row make a calm target slow; single ones do not', t => {
	const pace = new TargetPace();
	for (let round = 0; round < 50; round++) {
		answer(pace, round % 4 === 0 ? 30 : 500, round * 1000);
	}

	t.equal(pace.window, Infinity);
	for (let late = 0; late < 4; late++) {
		answer(pace, 500, 60_000 + (late * 10));
	}

	t.equal(pace.window, 5);
	t.ok(pace.isMild);
	t.equal(pace.announce(60_100), undefined, 'peers are not told, as the delay may be of this instance');
	t.end();
});

t.test('a target that is slower than expected while it warms up is not held back: its own best time counts', t => {
	const pace = new TargetPace();
	pace.begin(0, true);
	for (let nowMs = 1000; nowMs < 6000; nowMs += 1000) {
		answer(pace, 300, nowMs);
	}

	t.equal(pace.window, Infinity);
	t.end();
});

// Guards against a limit on targets that work as usual, where times vary with the size of prompts and with other requests.
t.test('a calm target of long standing is not limited by times that vary', t => {
	const random = createRandom(11);
	const pace = new TargetPace();
	for (let nowMs = 1000; nowMs < 600_000; nowMs += 100) {
		const expectedMs = 10 + (100 * random.next());
		answer(pace, Math.min(900, expectedMs * 0.7 * Math.exp(1.2 * (random.next() + random.next() + random.next() - 1.5))), nowMs, {expectedMs});
		if (pace.computeLimit(59, slots, nowMs) !== Infinity) {
			t.fail(`limited at ${nowMs}`);
			break;
		}
	}

	t.equal(pace.window, Infinity);
	t.end();
});

t.test('peers learn of a refusal at once and approach each other\'s windows; a late report changes nothing', t => {
	const own = new TargetPace();
	const peer = new TargetPace();
	own.recordRefusal(16, slots, 5000, 5000);
	peer.merge(own.announce(5100)!, slots, 9100);
	t.equal(peer.window, 8);
	t.equal(peer.announce(9100), undefined, 'what was told is not passed on');
	answer(own, 10, 5200);
	answer(own, 10, 5300);
	t.equal(own.window, 32);
	peer.merge(own.announce(5400)!, slots, 9400);
	t.equal(peer.window, 16);
	peer.merge([1, 20_000], slots, 9500);
	t.equal(peer.window, 16);
	answer(own, 10, 5500);
	t.strictSame(own.announce(5500), [0, 500]);
	peer.merge(own.announce(5500)!, slots, 9500);
	t.equal(peer.window, 32);
	t.end();
});

// Guards against a target that stays idle as the instance hears nothing: its links to the peers are cut, and it has no request for the target.
t.test('without any answer or news the window opens', t => {
	const pace = new TargetPace();
	pace.begin(0, true);
	let nowMs = 0;
	while (pace.computeLimit(10, slots, nowMs) !== Infinity && nowMs < 60_000) {
		nowMs += 100;
	}

	t.ok(nowMs <= 10_000, String(nowMs));
	t.end();
});

const engine = {
	slots, cacheTokens: 215_352, bytesPerToken: 35_136, linkMbps: 1_000_000, models: ['m'],
};
/** A fifth of the engines is down for 2 s, as on a day with faults, while the others can hardly serve the load; those that return take few requests at first. */
const returnLoad: UnevenLoad = {
	seed: 8, instances: 20, targets: 15, perSecond: 480, engine, slots, durationMs: 10_000, restart: {targets: 3, downMs: 4000, upMs: 6000},
};

t.test('engines that return under overload: fewer refusals than if they were flooded, and more in time than if they were left idle', t => {
	const [paced, flooded, idle] = (['new', 'flooded', 'idle'] as const).map(policy => simulateUnevenLoad(returnLoad, policy));
	t.comment(JSON.stringify({paced, flooded, idle}));
	t.ok(paced!.returnRefusals < flooded!.returnRefusals);
	t.ok(paced!.inTime > idle!.inTime + 0.01);
	t.ok(paced!.inTime > flooded!.inTime - 0.005);
	t.end();
});
