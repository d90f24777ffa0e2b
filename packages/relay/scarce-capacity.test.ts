/**
 * Loads of 1 to 3 times the capacity of engines: short urgent prompts, and long ones
 * that are less urgent. The bounds lie between what the choice without admission by
 * the wait gave on the same load (docs/design/scarce-capacity.md) and what was
 * measured with it.
 */
import t from 'tap';
import {simulateScarceLoad, type KindOutcomes, type ScarceLoad} from './testing/scarce-load.ts';
import {prepareHash} from '#core';

const seed = 7;

type Bounds = Readonly<{
	/** Smallest share of the urgent requests that are in time. */
	minInTime: number;
	/** Largest share of all requests that end without an answer or a refusal. */
	maxFailed: number;
	/** Largest share of the shared tokens that are read again. */
	maxReread: number;
}>;

const loads: ReadonlyArray<readonly [name: string, load: Omit<ScarceLoad, 'seed'>, bounds: Bounds]> = [
	['the capacity', {factor: 1}, {minInTime: 0.99, maxFailed: 0, maxReread: 0.12}],
	['1.5 times the capacity', {factor: 1.5}, {minInTime: 0.95, maxFailed: 0.04, maxReread: 0.4}],
	['twice the capacity', {factor: 2}, {minInTime: 0.75, maxFailed: 0.06, maxReread: 0.39}],
	['three times the capacity', {factor: 3}, {minInTime: 0.45, maxFailed: 0.08, maxReread: 0.44}],
	['twice the capacity, each instance hears of four others', {factor: 2, samplePeers: 4}, {minInTime: 0.38, maxFailed: 0.12, maxReread: 0.42}],
	['1.5 times the capacity, a third of the engines down for 4 s', {factor: 1.5, downEngines: 2}, {minInTime: 0.84, maxFailed: 0.08, maxReread: 0.42}],
];

const getServedShare = ({inTime, late, total}: KindOutcomes) => (inTime + late) / total;

t.before(prepareHash);

for (const [name, load, {minInTime, maxFailed, maxReread}] of loads) {
	t.test(`load of ${name}: urgent prompts are in time, and others are refused rather than lost`, async t => {
		const {
			triage, review, rereadTokens, sharedTokens, refusals, wrongRefusals,
		} = simulateScarceLoad({seed, ...load});
		const failedShare = (triage.failed + review.failed) / (triage.total + review.total);
		t.ok(triage.inTime / triage.total >= minInTime, `${triage.inTime} of ${triage.total} urgent requests are in time`);
		t.ok(failedShare <= maxFailed, `${failedShare.toFixed(3)} of all requests fail`);
		t.ok(rereadTokens <= sharedTokens * maxReread, `${(rereadTokens / sharedTokens).toFixed(3)} of the shared tokens are read again`);
		t.ok(getServedShare(triage) >= getServedShare(review) - 0.05, 'the more urgent kind is not served less');
		t.ok(getServedShare(review) >= (getServedShare(triage) + getServedShare(review)) / 8, 'the less urgent kind is not starved');
		t.ok(wrongRefusals <= Math.max(20, refusals * 0.05), `${wrongRefusals} of ${refusals} refusals while the engines had room`);
		t.ok(triage.largest.refused / triage.largest.total <= (triage.refused / triage.total * 1.5) + 0.03, 'the largest tenth is not refused more');
	});
}
