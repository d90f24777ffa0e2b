/** Every term of every candidate of a request, for operators. */
import type {PromptChain} from './chain.ts';
import {rankCandidates, type Candidate, type PlacementQuery} from './choose.ts';
import {findEligible, type Exclusion} from './eligible.ts';
import type {Target} from '#core';

/** Why a request would go where. */
export type PlacementExplanation = Readonly<{
	/** Absent for plain services. */
	chain?: PromptChain;
	/** Best first; those within a few percent of the first are chosen among at random. */
	candidates: readonly Candidate[];
	/** Targets that may not be chosen. */
	excluded: ReadonlyArray<Readonly<{target: Target; reason: Exclusion}>>;
}>;

/** Explains a choice without making it. */
export function explainPlacement(query: PlacementQuery): PlacementExplanation {
	const eligibility = findEligible(query);
	return {
		chain: query.chain,
		candidates: rankCandidates(query, eligibility).toSorted((a, b) => a.totalMs - b.totalMs),
		excluded: query.pool.targets.flatMap(target => {
			const reason = eligibility.exclusions.get(target.name);
			return reason === undefined ? [] : [{target, reason}];
		}),
	};
}
