/** Chooses the target of an attempt among those that are listed. */
import type {TargetState} from './target-state.ts';
import type {Prompt, Random} from '#core';
import {pickHomes} from '#placement';

/** What a choice depends on. */
export type TargetQuery = Readonly<{
	targets: readonly TargetState[];
	/** Identities that must not be chosen. */
	excluded: ReadonlySet<string>;
	prompt: Prompt | undefined;
	/** This instance's availability zone. */
	zone: string;
	nowMs: number;
	random: Random;
}>;

/** Price of leaving the own availability zone, in requests that wait. */
const otherZonePrice = 0.5;

/**
 * Chooses a target.
 *
 * @returns nothing when no target may be chosen
 */
export function chooseRelayTarget(query: TargetQuery): TargetState | undefined {
	const listed = query.targets.filter(({target}) => !target.isLeaving && !query.excluded.has(target.id));
	const ready = preferIf(listed, ({loadingUntilMs}) => loadingUntilMs <= query.nowMs);
	const open = preferIf(ready, ({suspectUntilMs}) => suspectUntilMs <= query.nowMs);
	const affinity = query.prompt?.parts.at(-2)?.key;
	return affinity === undefined ? pickLeastLoaded(open, query) : pickHome(open, affinity);
}

/** Those that pass, or all where none does. */
function preferIf(states: readonly TargetState[], passes: (state: TargetState) => boolean): readonly TargetState[] {
	const passing = states.filter(state => passes(state));
	return passing.length > 0 ? passing : states;
}

function pickLeastLoaded(targets: readonly TargetState[], {zone, random}: TargetQuery): TargetState | undefined {
	let best: TargetState | undefined;
	let bestCost = Infinity;
	for (const state of targets) {
		const cost = estimateBusy(state) + (state.target.zone === zone ? 0 : otherZonePrice) + (random.next() / 100);
		if (cost < bestCost) {
			best = state;
			bestCost = cost;
		}
	}

	return best;
}

function pickHome(targets: readonly TargetState[], affinity: string): TargetState | undefined {
	const byId = new Map(targets.map(state => [state.target.id, state]));
	const [home] = pickHomes([...byId.keys()], affinity, {getLoad: id => byId.get(id)!.inFlight});
	return home === undefined ? undefined : byId.get(home);
}

function estimateBusy({load, inFlight, inFlightAtLoad}: TargetState): number {
	const others = load ? Math.max(0, load.running + load.waiting - inFlightAtLoad) : 0;
	return inFlight + others;
}
