/** Explains a placement to operators: all terms of all candidates, and the reason for each excluded target. */
import type {PromptChain} from './chain.ts';
import {computeCandidates, type Candidate, type PlacementQuery} from './choose-target.ts';
import {findEligible, type Exclusion} from './eligibility.ts';
import type {Target} from '#core';

/** The explanation of a placement. */
export type PlacementExplanation = Readonly<{
	/** Absent for plain services. */
	chain?: PromptChain;
	/** Lowest total first. Among nearly equal totals {@link chooseTarget} chooses by the hash of the prompt, so it may choose another one than the first. */
	candidates: readonly Candidate[];
	/** Targets that are not eligible. */
	excluded: ReadonlyArray<Readonly<{target: Target; reason: Exclusion}>>;
}>;

/** Explains the placement of a request without placing it. */
export function explainPlacement(query: PlacementQuery): PlacementExplanation {
	const eligibility = findEligible(query);
	return {
		chain: query.chain,
		candidates: computeCandidates(query, eligibility).toSorted((a, b) => a.totalMs - b.totalMs),
		excluded: query.pool.targets.flatMap(target => {
			const reason = eligibility.exclusions.get(target.name);
			return reason === undefined ? [] : [{target, reason}];
		}),
	};
}
