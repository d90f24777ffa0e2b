/** Which targets may take a request, and why the others may not. */
import type {TargetView, TargetViews} from './views.ts';
import type {Target, TargetPool} from '#core';

/** Why a target is not considered. */
export type Exclusion = 'excluded' | 'leaving' | 'loading' | 'no_weights' | 'unreachable' | 'other_weights';

/** What eligibility depends on. */
export type EligibilityQuery = Readonly<{
	pool: TargetPool;
	views: TargetViews;
	/** Names of targets that must not be chosen. */
	excluded: ReadonlySet<string>;
	/** Weights version that the request assumes. Default: the pool's. */
	weights?: string;
}>;

type Rule = Readonly<{reason: Exclusion; applies: (view: TargetView, target: Target, query: EligibilityQuery) => boolean}>;

/** Never overruled. */
const hardRules: readonly Rule[] = [
	{reason: 'excluded', applies: (_view, {name}, {excluded}) => excluded.has(name)},
	{reason: 'leaving', applies: ({leaving}) => leaving},
	{reason: 'loading', applies: ({report}) => report?.loading ?? false},
	{reason: 'no_weights', applies: ({report}, _target, {pool}) => pool.kind === 'engine' && report !== undefined && report.weights === undefined},
];

/** Overruled when they would leave no target. */
const softRules: readonly Rule[] = [
	{reason: 'unreachable', applies: ({unreachable}) => unreachable},
	{reason: 'other_weights', applies: ({report}, _target, {pool, weights = pool.weights}) => weights !== undefined && report !== undefined && report.weights !== weights},
];

/** Targets that may be chosen, and the reason for each other one by name. */
export type Eligibility = Readonly<{targets: readonly Target[]; exclusions: ReadonlyMap<string, Exclusion>}>;

/** Targets that may be chosen whatever weights they serve. */
export function findCandidates(query: EligibilityQuery): readonly Target[] {
	const targets = applyRules(query.pool.targets, hardRules, query, new Map());
	const reachable = targets.filter(({name}) => !query.views.get(name).unreachable);
	return reachable.length > 0 ? reachable : targets;
}

/** Decides which targets may be chosen. */
export function findEligible(query: EligibilityQuery): Eligibility {
	const exclusions = new Map<string, Exclusion>();
	let targets = applyRules(query.pool.targets, hardRules, query, exclusions);
	for (const rule of softRules) {
		const soft = new Map<string, Exclusion>();
		const left = applyRules(targets, [rule], query, soft);
		if (left.length > 0) {
			targets = left;
			for (const [name, reason] of soft) {
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
