/** The state that this instance keeps for each target: its last load report, its cached keys, and the requests sent to it since the report. */
import type {CachedPrefix} from './_cached-keys.ts';
import {KeyTable, parseKeys, type KeyWords} from './_key-table.ts';
import {TargetState, type TargetSummary} from './_target-state.ts';
import type {CacheEventBatch, LoadReport} from '#core';

export type {TargetSummary} from './_target-state.ts';

/** A read-only view of the state of one target. */
export type TargetView = Readonly<{
	name: string;
	/** Current incarnation; empty while unknown. */
	incarnation: string;
	report?: LoadReport;
	/** Time at which the figures of the report were measured, on this instance's clock. */
	measuredMs: number;
	/** Number of requests that this instance has in progress on the target. */
	inFlight: number;
	isDraining: boolean;
	/** Whether the last attempt to read the load report found that no process listens at the target. */
	isUnreachable: boolean;
	/** Sums the uncached tokens of requests that this instance sent after `sinceMs` and whose answers have not begun. */
	sumPendingTokens(sinceMs?: number): number;
	/** Sums the work in progress that peers have recently reported. */
	sumPeerWork(nowMs: number): Readonly<{requests: number; tokens: number}>;
	/** Finds the longest prefix of a chain's parsed keys that is believed to be cached. */
	findCachedPrefix(words: KeyWords): CachedPrefix;
}>;

/** What a target states about itself, as instances tell it each other; an absent field is not stated any more. */
export type TargetStatementReport = Readonly<{
	/** Requests per second over all instances. */
	perSecond?: number | undefined;
	/** Whether the target is about to stop. */
	isLeaving?: boolean | undefined;
	/** Requests per second that the target can refuse without failing. */
	maxRefusals?: number | undefined;
	/** Time since the target stated this, in milliseconds. */
	ageMs: number;
}>;

/** The work that an instance has in progress on a target. */
export type TargetWork = Readonly<{
	target: string;
	/** Number of requests in progress. */
	requests: number;
	/** Tokens that wait for prefill. */
	tokens: number;
	/** The same tokens by urgency. Only the relay states and reads them, whose engines process prompts in order of urgency. */
	byUrgency?: readonly number[];
	/** Memory that the requests hold: tokens that no other request shares by urgency, and hashes of shared parts with their tokens. Only the relay states and reads it. */
	held?: Readonly<{byUrgency: readonly number[]; parts: ReadonlyArray<readonly [key: number, tokens: number]>}> | undefined;
	/** Start of the process that this concerns, in Unix milliseconds; absent if it is unknown. Only the relay states and reads it. */
	startedWallMs?: number | undefined;
	/** What the process states about itself. Only the relay states and reads it. */
	statement?: TargetStatementReport | undefined;
	/** What peers are told whose program knows only this field; see the schema of the message. */
	limit?: TargetStatementReport | undefined;
	/** How fast the process works, as `SpeedReport` of the relay describes. Only the relay states and reads it. */
	speed?: readonly number[] | undefined;
	/** How many requests the process takes, as `PaceReport` of the relay describes. Only the relay states and reads it. */
	pace?: readonly number[] | undefined;
}>;

/** Options of {@link TargetViews}. */
export type TargetViewsOptions = Readonly<{
	/** Maximum number of cache entries for one target. Default: 2048, which take 24 KB. */
	maxEntriesPerTarget?: number;
}>;

const defaultMaxEntries = 2048;
const maxStoredKeys = 65_536;

/** The state of all targets by name. */
export class TargetViews {
	readonly #states = new Map<string, TargetState>();
	/** Names of the targets on which each peer last reported work. */
	readonly #targetsByPeer = new Map<string, readonly string[]>();
	/** Keys that any target has computed, so that the KV cache store may hold them. */
	readonly #storedKeys = new KeyTable(maxStoredKeys);
	readonly #maxEntries: number;

	constructor(options: TargetViewsOptions = {}) {
		this.#maxEntries = options.maxEntriesPerTarget ?? defaultMaxEntries;
	}

	/** Number of cache entries over all targets. */
	get entryCount(): number {
		return this.#sum(state => state.cache.size);
	}

	/** Size of the tables of cache entries, in bytes. */
	get bytes(): number {
		return this.#storedKeys.bytes + this.#sum(state => state.cache.bytes);
	}

	get(name: string): TargetView {
		return this.#getOrCreate(name);
	}

	/** Finds the longest prefix of a chain's keys that a target is believed to have cached. */
	findCachedPrefix(name: string, keys: readonly string[]): CachedPrefix {
		return this.#getOrCreate(name).findCachedPrefix(parseKeys(keys));
	}

	/** Applies a load report; a new incarnation or other weights clear all cached keys of the target. */
	applyReport(name: string, report: LoadReport, nowMs = 0): void {
		this.#getOrCreate(name).applyReport(report, nowMs);
	}

	/**
	 * Applies cache events; if events are missing, all present entries become suspect.
	 *
	 * @returns whether events were missing
	 */
	applyEvents(name: string, batch: CacheEventBatch): boolean {
		const hasGap = this.#getOrCreate(name).applyEvents(batch);
		for (const event of batch.events) {
			if (event.kind === 'stored') {
				this.#recordStoredKeys(parseKeys(event.keys));
			}
		}

		return hasGap;
	}

	/** Records that a prompt was prefilled on the given incarnation of a target. */
	applyPrefill(name: string, incarnation: string, keys: readonly string[]): void {
		const words = parseKeys(keys);
		this.#getOrCreate(name).applyPrefill(incarnation, words);
		this.#recordStoredKeys(words);
	}

	/** Marks all cache entries of a target as suspect. */
	markSuspect(name: string): void {
		this.#getOrCreate(name).cache.markSuspect();
	}

	/** Records that no process listens at a target, so its cache no longer exists. */
	markUnreachable(name: string): void {
		this.#getOrCreate(name).markUnreachable();
	}

	/**
	 * Exports the cached keys of all targets, for a starting instance.
	 *
	 * @param maxKeys maximum number of keys in total, divided equally among the targets
	 */
	exportSummaries(maxKeys: number): readonly TargetSummary[] {
		const knownStates = [...this.#states.values()].filter(({incarnation}) => incarnation !== '');
		const maxKeysPerTarget = Math.floor(maxKeys / Math.max(1, knownStates.length));
		return knownStates.map(({name, incarnation, isDraining, cache}) => ({
			target: name, incarnation, leaving: isDraining, sequence: cache.sequence, keys: cache.listKeys(maxKeysPerTarget),
		}));
	}

	/** Applies a summary, unless this instance knows another incarnation of the target or newer cache events. */
	importSummary(summary: TargetSummary): void {
		this.#getOrCreate(summary.target).applySummary(summary);
	}

	/** Sequence number of the newest cache event applied; the next read asks for later events. */
	getCacheSequence(name: string): number {
		return this.#getOrCreate(name).cache.sequence;
	}

	/** Adds a request in progress, or removes one. */
	addInFlight(name: string, change: 1 | -1): void {
		this.#getOrCreate(name).inFlight += change;
	}

	/**
	 * Adds uncached tokens of a request that was sent and whose answer has not begun.
	 *
	 * @returns a function that removes them
	 */
	addPendingTokens(name: string, tokens: number, nowMs: number): () => void {
		return this.#getOrCreate(name).addPendingTokens(tokens, nowMs);
	}

	/** Marks a target as draining, until it has a new incarnation. */
	markDraining(name: string): void {
		this.#getOrCreate(name).isDraining = true;
	}

	/** Ends the effect of {@link TargetViews.markDraining}. */
	clearDraining(name: string): void {
		this.#getOrCreate(name).isDraining = false;
	}

	/** Lists the work that this instance has in progress, one entry for each target. */
	listWork(): readonly TargetWork[] {
		return [...this.#states.values()]
			.filter(state => state.inFlight > 0)
			.map(state => ({target: state.name, requests: state.inFlight, tokens: state.sumPendingTokens()}));
	}

	/** Sets the work that a peer has in progress; it replaces the work that the peer reported before. */
	applyPeerWork(peer: string, work: readonly TargetWork[], nowMs: number): void {
		for (const name of this.#targetsByPeer.get(peer) ?? []) {
			this.#getOrCreate(name).deletePeerWork(peer);
		}

		this.#targetsByPeer.set(peer, work.map(({target}) => target));
		for (const {target, requests, tokens} of work) {
			this.#getOrCreate(target).setPeerWork(peer, {receivedMs: nowMs, requests, tokens});
		}
	}

	/** Removes the work of all peers except those listed. */
	removePeersExcept(peers: readonly string[]): void {
		const remaining = new Set(peers);
		for (const peer of this.#targetsByPeer.keys()) {
			if (!remaining.has(peer)) {
				this.applyPeerWork(peer, [], 0);
				this.#targetsByPeer.delete(peer);
			}
		}
	}

	/** Counts the leading pieces of a chain that the KV cache store is believed to hold. */
	countStoredPieces(words: KeyWords): number {
		let pieces = 0;
		while (pieces * 2 < words.length && this.#storedKeys.getEpoch(words[pieces * 2]!, words[(pieces * 2) + 1]!) !== -1) {
			pieces++;
		}

		return pieces;
	}

	#recordStoredKeys(words: KeyWords): void {
		for (let index = 0; index < words.length; index += 2) {
			this.#storedKeys.set(words[index]!, words[index + 1]!, 0);
		}
	}

	#getOrCreate(name: string): TargetState {
		let state = this.#states.get(name);
		if (!state) {
			state = new TargetState(name, this.#maxEntries);
			this.#states.set(name, state);
		}

		return state;
	}

	#sum(getValue: (state: TargetState) => number): number {
		let sum = 0;
		for (const state of this.#states.values()) {
			sum += getValue(state);
		}

		return sum;
	}
}
