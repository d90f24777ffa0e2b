/** Decides which weights version a request may run on while engines change theirs. */
import {findCandidates, type EligibilityQuery} from './eligible.ts';
import type {TargetView} from './views.ts';

/**
 * The pool's weights where any target that may be chosen serves them or is not
 * known, else the version that most of those targets report. A prompt's keys
 * are seeded with this version, so entries of one version never serve another.
 *
 * @returns nothing when the pool names no weights
 */
export function pickWeights(query: EligibilityQuery): string | undefined {
	const {pool, views} = query;
	if (pool.weights === undefined) {
		return undefined;
	}

	const counts = new Map<string, number>();
	for (const target of findCandidates(query)) {
		const weights = readWeights(views.get(target.name), pool.weights);
		if (weights === pool.weights) {
			return weights;
		}

		counts.set(weights, (counts.get(weights) ?? 0) + 1);
	}

	const [most] = [...counts].toSorted(([a, countA], [b, countB]) => countB - countA || (a < b ? -1 : 1));
	return most?.[0] ?? pool.weights;
}

/** Weights that a target serves as far as known; the pool's before its first report. */
export function readWeights({report}: TargetView, poolWeights: string): string {
	return report?.weights ?? poolWeights;
}
