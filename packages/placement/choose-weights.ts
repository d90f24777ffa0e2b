/** Chooses the weights version that a request runs on while the engines of its pool change weights. */
import {listAvailableTargets, type EligibilityQuery} from './eligibility.ts';
import type {TargetView} from './target-views.ts';

/**
 * Chooses the weights version configured for the pool if any target that may be
 * chosen serves it or has not reported its weights yet, else the version that most
 * of those targets report. The keys of a prompt are seeded with this version, so
 * cache entries of one version never match prompts of another.
 *
 * @returns `undefined` if the pool has no configured weights
 */
export function chooseWeights(query: EligibilityQuery): string | undefined {
	const {pool, views} = query;
	if (pool.weights === undefined) {
		return undefined;
	}

	const counts = new Map<string, number>();
	for (const target of listAvailableTargets(query)) {
		const weights = getWeights(views.get(target.name), pool.weights);
		if (weights === pool.weights) {
			return weights;
		}

		counts.set(weights, (counts.get(weights) ?? 0) + 1);
	}

	const [mostCommon] = [...counts].toSorted(([a, countA], [b, countB]) => countB - countA || (a < b ? -1 : 1));
	return mostCommon?.[0] ?? pool.weights;
}

/** Returns the weights version that a target reports, or that of the pool if it has not reported any. */
export function getWeights({report}: TargetView, poolWeights: string): string {
	return report?.weights ?? poolWeights;
}
