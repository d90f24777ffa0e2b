/** The state that this instance keeps for one target: load report, cached keys, requests in flight, peers' work there, and whether it is draining. */
import {CachedKeys, type CachedPrefix} from './_cached-keys.ts';
import {parseKeys, type KeyWords} from './_key-table.ts';
import type {CacheEventBatch, LoadReport} from '#core';

/** The part of a target's state that an instance sends to a starting one. */
export type TargetSummary = Readonly<{
	target: string;
	incarnation: string;
	leaving: boolean;
	/** Sequence number of the newest cache event that `keys` reflects. */
	sequence: number;
	/** Piece keys believed to be cached. */
	keys: readonly string[];
}>;

/** Tokens of a request that was sent and whose answer has not begun. */
type PendingPrefill = Readonly<{sentMs: number; tokens: number}>;

/** Work in progress on the target, as last reported by a peer. */
type PeerWork = Readonly<{receivedMs: number; requests: number; tokens: number}>;

/** Age beyond which a peer's report of its work no longer counts, in milliseconds. */
const maxPeerWorkAgeMs = 2000;
/** Maximum number of replaced incarnations that are stored, in order to ignore late messages from them. */
const maxRetiredIncarnations = 16;

/** The mutable state behind a {@link TargetView}. */
export class TargetState {
	readonly name: string;
	incarnation = '';
	report: LoadReport | undefined;
	/** Time at which the figures of the report were measured, on this instance's clock. */
	measuredMs = Number.NEGATIVE_INFINITY;
	inFlight = 0;
	isDraining = false;
	isUnreachable = false;
	readonly cache: CachedKeys;
	readonly #retiredIncarnations = new Set<string>();
	readonly #pending = new Set<PendingPrefill>();
	readonly #peerWork = new Map<string, PeerWork>();

	constructor(name: string, maxEntries: number) {
		this.name = name;
		this.cache = new CachedKeys(maxEntries);
	}

	applyReport(report: LoadReport, nowMs: number): void {
		if (!this.#updateIncarnation(report.incarnation)) {
			return;
		}

		// Before the first report, the keys of a summary are kept: a key names the weights, so one of other weights matches no prompt.
		if (this.report && this.report.weights !== report.weights) {
			this.cache.clear();
		}

		this.report = report;
		this.measuredMs = nowMs - report.ageMs;
		this.isDraining ||= report.leaving;
		this.isUnreachable = false;
	}

	/** @returns whether events were missing */
	applyEvents(batch: CacheEventBatch): boolean {
		return this.#updateIncarnation(batch.incarnation) && this.cache.applyEvents(batch);
	}

	/** Records the keys that an answer shows to be cached. An answer sets the incarnation only if none is known. */
	applyPrefill(incarnation: string, words: KeyWords): void {
		if (this.incarnation === '') {
			this.#updateIncarnation(incarnation);
		}

		if (this.incarnation === incarnation) {
			this.cache.recordChain(words);
		}
	}

	/** Applies the summary of another instance, unless this one knows another incarnation or newer cache events. */
	applySummary(summary: TargetSummary): void {
		const isOtherIncarnation = this.incarnation !== '' && this.incarnation !== summary.incarnation;
		if (isOtherIncarnation || this.#retiredIncarnations.has(summary.incarnation) || this.cache.sequence > summary.sequence) {
			return;
		}

		this.incarnation = summary.incarnation;
		this.isDraining ||= summary.leaving;
		this.cache.mergeKeys(parseKeys(summary.keys), summary.sequence);
	}

	/** Marks the target as unreachable and clears the state of its process, which no longer accepts connections. */
	markUnreachable(): void {
		this.isUnreachable = true;
		this.cache.clear();
		this.report = undefined;
		this.measuredMs = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Adds tokens that wait for prefill.
	 *
	 * @returns a function that removes them
	 */
	addPendingTokens(tokens: number, sentMs: number): () => void {
		const pending = {tokens, sentMs};
		this.#pending.add(pending);
		return () => {
			this.#pending.delete(pending);
		};
	}

	setPeerWork(peer: string, work: PeerWork): void {
		this.#peerWork.set(peer, work);
	}

	deletePeerWork(peer: string): void {
		this.#peerWork.delete(peer);
	}

	/** Sums the uncached tokens of requests that this instance sent after `sinceMs` and whose answers have not begun. */
	sumPendingTokens(sinceMs = Number.NEGATIVE_INFINITY): number {
		let sum = 0;
		for (const {tokens, sentMs} of this.#pending) {
			sum += sentMs > sinceMs ? tokens : 0;
		}

		return sum;
	}

	/** Sums the work in progress that peers have reported within `maxPeerWorkAgeMs`. */
	sumPeerWork(nowMs: number): Readonly<{requests: number; tokens: number}> {
		let requests = 0;
		let tokens = 0;
		for (const work of this.#peerWork.values()) {
			if (nowMs - work.receivedMs <= maxPeerWorkAgeMs) {
				requests += work.requests;
				tokens += work.tokens;
			}
		}

		return {requests, tokens};
	}

	findCachedPrefix(words: KeyWords): CachedPrefix {
		return this.cache.findCachedPrefix(words);
	}

	/**
	 * Sets the incarnation; a new one clears the state of the previous one.
	 *
	 * @returns `false` if `incarnation` is an earlier one that was already replaced
	 */
	#updateIncarnation(incarnation: string): boolean {
		if (this.incarnation === incarnation) {
			return true;
		}

		if (this.#retiredIncarnations.has(incarnation)) {
			return false;
		}

		if (this.incarnation !== '') {
			this.#retireIncarnation(this.incarnation);
			this.cache.clear();
			this.isDraining = false;
			this.report = undefined;
			this.measuredMs = Number.NEGATIVE_INFINITY;
		}

		this.incarnation = incarnation;
		return true;
	}

	#retireIncarnation(incarnation: string): void {
		this.#retiredIncarnations.add(incarnation);
		if (this.#retiredIncarnations.size > maxRetiredIncarnations) {
			const [oldest] = this.#retiredIncarnations;
			this.#retiredIncarnations.delete(oldest!);
		}
	}
}
