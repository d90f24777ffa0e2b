/** The estimate of a target's speed, and the choice of uneven targets by it beside other ways to choose. */
import t from 'tap';
import {TargetSpeed} from './target-speed.ts';
import {simulateUnevenLoad, type UnevenLoad} from './testing/uneven-load.ts';
import {prepareHash} from '#core';

t.before(prepareHash);

t.test('a slow spell raises the factor for as long as a spell lasts, and leaves the lasting speed', t => {
	const speed = new TargetSpeed();
	for (let nowMs = 0; nowMs <= 6000; nowMs += 200) {
		speed.recordFigure(nowMs % 400 === 0 ? 95 : 105, nowMs);
		speed.recordAnswerStart(1500, 20, nowMs);
	}

	const calm = speed.get(6000);
	t.ok(Math.abs(calm.msPerToken - 0.01) < 0.001, String(calm.msPerToken));
	for (let nowMs = 6100; nowMs <= 6600; nowMs += 100) {
		speed.recordFigure(250, nowMs);
		speed.recordAnswerStart(1500, 50, nowMs);
	}

	const slow = speed.get(6600);
	t.ok(slow.factor > 2.2, String(slow.factor));
	t.ok(Math.abs(slow.msPerToken - calm.msPerToken) < 0.002, String(slow.msPerToken));
	t.equal(speed.get(6900).factorAgeMs, 300);
	t.ok(speed.get(8000).factor < 1.05, 'an old figure tells nothing of a spell');
	t.ok(speed.computeMs(20, 6600) > 40, 'short work takes as long as the figure states');
	t.ok(speed.computeMs(2000, 6600) < 2800, 'a spell ends before long work does');
	t.end();
});

t.test('a machine that is slower or faster for good has another lasting speed, whether or not its figure contains that', t => {
	for (const percent of [100, 59]) {
		const speed = new TargetSpeed();
		for (let nowMs = 0; nowMs <= 8000; nowMs += 250) {
			speed.recordFigure(percent, nowMs);
			speed.recordAnswerStart(1500, 11.8, nowMs);
		}

		const {msPerToken, factor} = speed.get(8000);
		t.ok(Math.abs(msPerToken - 0.0059) < 0.0005, `${percent}: ${msPerToken}`);
		t.ok(Math.abs(factor - 1) < 0.05);
	}

	t.end();
});

t.test('a target that states no figure is judged by a moving average of own measurements', t => {
	const speed = new TargetSpeed();
	speed.merge([0, 0, 5000, 5000], 0);
	speed.recordServiceTime(100, 0);
	t.equal(speed.get(0).serviceMs, 60);
	t.equal(speed.get(0).factor, 1);
	t.equal(speed.computeMs(70, 5), 70);
	t.equal(speed.announce(0), undefined);
	t.end();
});

t.test('requests that this instance does not know of do not make a target look slow for good', t => {
	const speed = new TargetSpeed();
	for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
		speed.recordFigure(100, nowMs);
		// Each third prompt waits behind those of other instances.
		speed.recordAnswerStart(1500, nowMs % 300 === 0 ? 400 : 20, nowMs);
	}

	t.ok(speed.get(10_000).msPerToken < 0.02, String(speed.get(10_000).msPerToken));
	t.end();
});

t.test('peers learn a figure and the lasting speed, each with its age; what they were told is not passed on', t => {
	const own = new TargetSpeed();
	own.recordFigure(250, 1000);
	own.recordAnswerStart(1500, 50, 1000);
	const report = own.announce(1200)!;
	t.strictSame(report.slice(0, 2), [250, 200]);
	const peer = new TargetSpeed();
	peer.merge(report, 5000);
	t.equal(peer.get(5000).factorAgeMs, 200);
	t.ok(peer.get(5000).msPerToken > 0);
	t.equal(peer.announce(5000), undefined);
	t.equal(own.announce(3000), undefined, 'an old figure is not told');
	const before = peer.get(5000);
	peer.merge([90, 4000, 0, 0], 5000);
	t.strictSame(peer.get(5000), before, 'an older figure does not replace a newer one');
	t.end();
});

t.test('figures beyond all measure are bounded', t => {
	const speed = new TargetSpeed();
	speed.merge([Number.MAX_VALUE, 0, Number.MAX_VALUE, Number.MAX_VALUE], 0);
	speed.recordFigure(1e9, 10);
	const {factor, msPerToken} = speed.get(10);
	t.ok(factor <= 20 && msPerToken <= 0.5 * 20);
	t.end();
});

const engine = {
	slots: 64, cacheTokens: 215_352, bytesPerToken: 35_136, linkMbps: 1_000_000, models: ['m'],
};
/** Targets of uneven speed: engines at 70% of their capacity, and plain services. */
const engineLoad: UnevenLoad = {
	seed: 7, instances: 20, targets: 15, perSecond: 460, engine, slots: 64, durationMs: 9000,
};
const plainLoad: UnevenLoad = {
	seed: 7, instances: 20, targets: 3, perSecond: 350, slots: 6, durationMs: 9000,
};

t.test('engines of uneven speed under uneven demand: more prompts start in time than by the choice before or in turn, and few leave their availability zone', t => {
	const [present, before, leastLoaded, inTurn] = (['new', 'before', 'least loaded', 'round robin'] as const).map(policy => simulateUnevenLoad(engineLoad, policy));
	t.comment(JSON.stringify({
		present, before, leastLoaded, inTurn,
	}));
	t.ok(present!.inTime >= before!.inTime);
	t.ok(present!.inTime > inTurn!.inTime);
	t.ok(present!.p99Ms < before!.p99Ms);
	t.ok(present!.crossZone < leastLoaded!.crossZone / 2);
	t.end();
});

t.test('plain services of uneven speed: shorter times than by the choice before or in turn with no more refusals, and far fewer requests in another availability zone than least loaded', t => {
	const [present, before, leastLoaded, inTurn] = (['new', 'before', 'least loaded', 'round robin'] as const).map(policy => simulateUnevenLoad(plainLoad, policy));
	t.comment(JSON.stringify({
		present, before, leastLoaded, inTurn,
	}));
	t.ok(present!.refused <= before!.refused && present!.refused < inTurn!.refused);
	t.ok(present!.p95Ms < before!.p95Ms && present!.p95Ms < inTurn!.p95Ms);
	t.ok(present!.crossZone < leastLoaded!.crossZone / 3);
	t.end();
});

t.test('links between instances that lose all messages: each instance judges the targets by itself, and none is overrun', t => {
	const cut = simulateUnevenLoad({...engineLoad, lossRatio: 1}, 'new');
	const inTurn = simulateUnevenLoad(engineLoad, 'round robin');
	t.comment(JSON.stringify({cut, inTurn}));
	t.ok(cut.inTime > inTurn.inTime);
	t.ok(cut.busiest <= inTurn.busiest);
	t.end();
});
