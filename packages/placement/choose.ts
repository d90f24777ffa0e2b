/**
 * Ranks the targets of a pool for a request by expected time to first token.
 * Ties fall back on rendezvous hashing (Thaler and Ravishankar, 1998) of the
 * chain's first key, so that instances which know nothing agree.
 */
import type {PromptChain} from './chain.ts';
import type {TargetView} from './views.ts';
import {hash64, type Target} from '#core';

/** What a choice depends on. */
export type PlacementQuery = Readonly<{
	targets: readonly Target[];
	getView: (name: string) => TargetView;
	/** Absent for plain services. */
	chain?: PromptChain;
	/** Names of targets that must not be chosen. */
	excluded: ReadonlySet<string>;
	/** This instance's availability zone. */
	zone: string;
	/** Requests a target runs at once. */
	slots: number;
}>;

/** A target with the terms of its rank, each in milliseconds. */
export type Candidate = Readonly<{
	target: Target;
	cachedTokens: number;
	prefillMs: number;
	queueMs: number;
	distanceMs: number;
	totalMs: number;
}>;

const defaultPrefillTokensPerMs = 8;
const otherZoneMs = 3;
const queuedRequestMs = 50;
const tieMs = 1;

/**
 * Ranks all eligible targets, best first.
 *
 * @returns an empty list when no target may be chosen
 */
export function chooseTarget(query: PlacementQuery): readonly Candidate[] {
	const affinity = query.chain?.keys[0] ?? '';
	return query.targets
		.filter(target => !query.excluded.has(target.name) && !query.getView(target.name).leaving)
		.map(target => ({candidate: rate(query, target), hash: hash64(`${affinity}|${target.name}`)}))
		.toSorted((a, b) => {
			const gap = a.candidate.totalMs - b.candidate.totalMs;
			return Math.abs(gap) > tieMs ? gap : (a.hash < b.hash ? -1 : 1);
		})
		.map(({candidate}) => candidate);
}

function rate(query: PlacementQuery, target: Target): Candidate {
	const view = query.getView(target.name);
	const cachedTokens = countCachedTokens(query.chain, view);
	const uncached = (query.chain?.totalTokens ?? 0) - cachedTokens;
	const prefillMs = uncached / (view.report?.prefillTokensPerMs ?? defaultPrefillTokensPerMs);
	const waiting = Math.max(0, view.inFlight + (view.report?.queued ?? 0) - query.slots + 1);
	const queueMs = waiting * queuedRequestMs;
	const distanceMs = target.zone === query.zone ? 0 : otherZoneMs;
	return {
		target, cachedTokens, prefillMs, queueMs, distanceMs, totalMs: prefillMs + queueMs + distanceMs,
	};
}

function countCachedTokens(chain: PromptChain | undefined, view: TargetView): number {
	let count = 0;
	for (const [index, key] of (chain?.keys ?? []).entries()) {
		if (!view.cached.has(key)) {
			break;
		}

		count += chain!.tokens[index]!;
	}

	return count;
}
