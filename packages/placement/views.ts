/** What this instance knows of each target: its last report, its cached keys, and what was sent to it since. */
import type {CachedPrefix} from './_cached-keys.ts';
import {KeyTable, parseKeys, type KeyWords} from './_key-table.ts';
import {TargetState, type TargetSummary} from './_target-state.ts';
import type {CacheEventBatch, LoadReport} from '#core';

export type {TargetSummary} from './_target-state.ts';

/** Knowledge of one target. */
export type TargetView = Readonly<{
	name: string;
	/** Empty while unknown. */
	incarnation: string;
	report?: LoadReport;
	/** Time at which the report's figures were measured, on this instance's clock. */
	measuredMs: number;
	/** Requests that this instance has in progress there. */
	inFlight: number;
	leaving: boolean;
	/** Whether the last read found that nothing listens there. */
	unreachable: boolean;
	/** Uncached tokens that this instance sent there after `sinceMs` and that have not begun to answer. */
	countPendingTokens(sinceMs?: number): number;
	/** What peers lately said they have in progress there. */
	countPeers(nowMs: number): Readonly<{requests: number; tokens: number}>;
	/** The longest prefix of a chain's parsed keys that is believed to be cached. */
	match(words: KeyWords): CachedPrefix;
}>;

/** What this instance has in progress on a target. */
export type TargetShare = Readonly<{
	target: string;
	requests: number;
	tokens: number;
	/** Tokens by urgency, where engines read by urgency. */
	byUrgency?: readonly number[];
}>;

/** Options of {@link TargetViews}. */
export type TargetViewsOptions = Readonly<{
	/** Most cache entries kept for one target. Default: 2048, which take 24 KB. */
	maxEntriesPerTarget?: number;
}>;

const defaultMaxEntries = 2048;
const maxKeptEntries = 65_536;

/** Views of all targets by name. */
export class TargetViews {
	readonly #states = new Map<string, TargetState>();
	readonly #sharesOfPeers = new Map<string, readonly string[]>();
	/** Keys that some target has computed, which the kept store therefore may hold. */
	readonly #kept = new KeyTable(maxKeptEntries);
	readonly #maxEntries: number;

	constructor(options: TargetViewsOptions = {}) {
		this.#maxEntries = options.maxEntriesPerTarget ?? defaultMaxEntries;
	}

	/** Cache entries over all targets. */
	get entries(): number {
		return this.#sum(state => state.cache.size);
	}

	/** Bytes that the cache entries take. */
	get bytes(): number {
		return this.#kept.bytes + this.#sum(state => state.cache.bytes);
	}

	get(name: string): TargetView {
		return this.#find(name);
	}

	/** The longest prefix of a chain's keys that a target is believed to have cached. */
	matchKeys(name: string, keys: readonly string[]): CachedPrefix {
		return this.#find(name).match(parseKeys(keys));
	}

	/** Takes in a load report; another incarnation or other weights drop all cached keys. */
	applyReport(name: string, report: LoadReport, nowMs = 0): void {
		this.#find(name).applyReport(report, nowMs);
	}

	/**
	 * Takes in cache events; missing ones make the present entries suspect.
	 *
	 * @returns whether some were missing
	 */
	applyEvents(name: string, batch: CacheEventBatch): boolean {
		const hasGap = this.#find(name).applyEvents(batch);
		for (const event of batch.events) {
			if (event.kind === 'stored') {
				this.#storeKept(parseKeys(event.keys));
			}
		}

		return hasGap;
	}

	/** Records that a prompt was prefilled on a target of the given incarnation. */
	applyPrefill(name: string, incarnation: string, keys: readonly string[]): void {
		const words = parseKeys(keys);
		this.#find(name).applyPrefill(incarnation, words);
		this.#storeKept(words);
	}

	/** Makes a target's entries suspect. */
	markSuspect(name: string): void {
		this.#find(name).cache.markSuspect();
	}

	/** Records that nothing listens at a target: its process and its cache are gone. */
	markUnreachable(name: string): void {
		this.#find(name).lose();
	}

	/**
	 * The cached keys of every target, for an instance that starts.
	 *
	 * @param maxKeys most keys in all; each target gets an equal part
	 */
	exportSummaries(maxKeys: number): readonly TargetSummary[] {
		const known = [...this.#states.values()].filter(({incarnation}) => incarnation !== '');
		const share = Math.floor(maxKeys / Math.max(1, known.length));
		return known.map(({name, incarnation, leaving, cache}) => ({
			target: name, incarnation, leaving, sequence: cache.sequence, keys: cache.list(share),
		}));
	}

	/** Takes in a summary, unless this instance has heard of the target's other incarnation or of newer cache events. */
	importSummary(summary: TargetSummary): void {
		this.#find(summary.target).applySummary(summary);
	}

	/** Sequence number after which the next cache events are wanted. */
	getSequence(name: string): number {
		return this.#find(name).cache.sequence;
	}

	/** Counts a request in progress. */
	addInFlight(name: string, by: 1 | -1): void {
		this.#find(name).inFlight += by;
	}

	/**
	 * Counts uncached tokens as sent until the answer begins.
	 *
	 * @returns a function that ends it
	 */
	addPending(name: string, tokens: number, nowMs: number): () => void {
		return this.#find(name).addPending(tokens, nowMs);
	}

	/** Marks a target as leaving; the mark stays for the incarnation. */
	markLeaving(name: string): void {
		this.#find(name).leaving = true;
	}

	/** What this instance has in progress, target by target. */
	listShares(): readonly TargetShare[] {
		return [...this.#states.values()]
			.filter(state => state.inFlight > 0)
			.map(state => ({target: state.name, requests: state.inFlight, tokens: state.countPendingTokens()}));
	}

	/** Takes in what a peer has in progress; it replaces what that peer said before. */
	applyPeerShares(peer: string, shares: readonly TargetShare[], nowMs: number): void {
		for (const name of this.#sharesOfPeers.get(peer) ?? []) {
			this.#find(name).deletePeerShare(peer);
		}

		this.#sharesOfPeers.set(peer, shares.map(({target}) => target));
		for (const {target, requests, tokens} of shares) {
			this.#find(target).setPeerShare(peer, {atMs: nowMs, requests, tokens});
		}
	}

	/** Forgets all peers but these. */
	forgetPeersExcept(names: readonly string[]): void {
		const kept = new Set(names);
		for (const peer of this.#sharesOfPeers.keys()) {
			if (!kept.has(peer)) {
				this.applyPeerShares(peer, [], 0);
				this.#sharesOfPeers.delete(peer);
			}
		}
	}

	/** Leading pieces of a chain that the kept store is believed to hold. */
	matchKept(words: KeyWords): number {
		let pieces = 0;
		while (pieces * 2 < words.length && this.#kept.getEpoch(words[pieces * 2]!, words[(pieces * 2) + 1]!) !== -1) {
			pieces++;
		}

		return pieces;
	}

	#storeKept(words: KeyWords): void {
		for (let index = 0; index < words.length; index += 2) {
			this.#kept.set(words[index]!, words[index + 1]!, 0);
		}
	}

	#find(name: string): TargetState {
		let state = this.#states.get(name);
		if (!state) {
			state = new TargetState(name, this.#maxEntries);
			this.#states.set(name, state);
		}

		return state;
	}

	#sum(read: (state: TargetState) => number): number {
		let sum = 0;
		for (const state of this.#states.values()) {
			sum += read(state);
		}

		return sum;
	}
}
