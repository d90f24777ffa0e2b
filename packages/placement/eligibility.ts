/** Decides which targets of a pool may take a request, and gives the reason for each target that may not. */
import type {TargetView, TargetViews} from './target-views.ts';
import type {Target, TargetPool} from '#core';

/** Why a target is not eligible. */
export type Exclusion = 'excluded' | 'leaving' | 'loading' | 'no_weights' | 'unreachable' | 'other_weights';

/** The input of an eligibility check. */
export type EligibilityQuery = Readonly<{
	pool: TargetPool;
	views: TargetViews;
	/** Names of targets that must not be chosen. */
	excluded: ReadonlySet<string>;
	/** Weights version that the request runs on. Default: that of the pool. */
	weights?: string;
}>;

/** A rule that excludes a target if it applies. */
type Rule = Readonly<{reason: Exclusion; applies: (view: TargetView, target: Target, query: EligibilityQuery) => boolean}>;

/** Rules that always hold. */
const hardRules: readonly Rule[] = [
	{reason: 'excluded', applies: (_view, {name}, {excluded}) => excluded.has(name)},
	{reason: 'leaving', applies: ({isDraining}) => isDraining},
	{reason: 'loading', applies: ({report}) => report?.loading ?? false},
	{reason: 'no_weights', applies: ({report}, _target, {pool}) => pool.kind === 'engine' && report !== undefined && report.weights === undefined},
];

/** Rules that are ignored, one by one, if they would leave no target. */
const softRules: readonly Rule[] = [
	{reason: 'unreachable', applies: ({isUnreachable}) => isUnreachable},
	{reason: 'other_weights', applies: ({report}, _target, {pool, weights = pool.weights}) => weights !== undefined && report !== undefined && report.weights !== weights},
];

/** The targets that may be chosen, and by name the reason for each other target. */
export type Eligibility = Readonly<{targets: readonly Target[]; exclusions: ReadonlyMap<string, Exclusion>}>;

/** Lists the targets that may be chosen, regardless of the weights that they serve. */
export function listAvailableTargets(query: EligibilityQuery): readonly Target[] {
	const targets = applyRules(query.pool.targets, hardRules, query, new Map());
	const reachable = targets.filter(({name}) => !query.views.get(name).isUnreachable);
	return reachable.length > 0 ? reachable : targets;
}

/** Finds the targets that may be chosen for a request. */
export function findEligible(query: EligibilityQuery): Eligibility {
	const exclusions = new Map<string, Exclusion>();
	let targets = applyRules(query.pool.targets, hardRules, query, exclusions);
	for (const rule of softRules) {
		const softExclusions = new Map<string, Exclusion>();
		const remaining = applyRules(targets, [rule], query, softExclusions);
		if (remaining.length > 0) {
			targets = remaining;
			for (const [name, reason] of softExclusions) {
				exclusions.set(name, reason);
			}
		}
	}

	return {targets, exclusions};
}

function applyRules(targets: readonly Target[], rules: readonly Rule[], query: EligibilityQuery, exclusions: Map<string, Exclusion>): readonly Target[] {
	return targets.filter(target => {
		const view = query.views.get(target.name);
		const rule = rules.find(({applies}) => applies(view, target, query));
		if (rule) {
			exclusions.set(target.name, rule.reason);
		}

		return !rule;
	});
}
