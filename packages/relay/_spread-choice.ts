/** Chooses among targets of similar cost, so that instances with the same data do not all choose the same one. */
import type {TargetChoice, TargetQuery} from './target-choice.ts';

/** Cost by which the probability of a target falls to a third, as a multiple of the time that the cheapest one takes for the request itself, and the minimum of that time in milliseconds. */
const spreadFactor = 1.5;
const minSpreadMs = 2;

/** Cost beyond the lowest one, as a multiple of that scale, from which a target gets nothing. */
const maxSpreadScales = 4;

/** Cost terms beyond those of the cheapest target from which another one gets nothing, in milliseconds. They are less than the cost of a duplicate in a cache. */
const maxSpreadTermsMs = 40;

/**
 * Returns a choice with the lowest cost, or close to it. Instances with the same
 * data would all choose the one target that looks best, so targets that state how
 * fast they work share the requests by how much their costs exceed the lowest one.
 * Another availability zone is left to those whose lowest cost is there.
 */
export function chooseCheapest({zone, random}: Pick<TargetQuery, 'zone' | 'random'>, choices: readonly TargetChoice[]): TargetChoice {
	let best = choices[0]!;
	for (const choice of choices) {
		if (choice.costMs < best.costMs) {
			best = choice;
		}
	}

	if (!choices.some(({state}) => state.speed.isStated)) {
		return best;
	}

	const scaleMs = Math.max(minSpreadMs, best.waitMs - best.queueMs) * spreadFactor;
	const maxCostMs = best.costMs + (scaleMs * maxSpreadScales);
	const maxTermsMs = best.costMs - best.waitMs + maxSpreadTermsMs;
	const isHere = best.state.target.zone === zone;
	let chosen = best;
	let sum = 0;
	for (const choice of choices) {
		if (choice.costMs <= maxCostMs && choice.costMs - choice.waitMs <= maxTermsMs && choice.unreadTokens <= best.unreadTokens && (choice.state.target.zone === zone) === isHere) {
			// The last of the choices so far that a draw by weight has taken.
			const weight = Math.exp((best.costMs - choice.costMs) / scaleMs);
			sum += weight;
			if (random.next() * sum < weight) {
				chosen = choice;
			}
		}
	}

	return chosen;
}
