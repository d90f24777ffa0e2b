/** What this instance knows of one target: its report, its cache, what was sent to it, and whether it leaves. */
import {CachedKeys, type CachedPrefix} from './_cached-keys.ts';
import {parseKeys, type KeyWords} from './_key-table.ts';
import type {CacheEventBatch, LoadReport} from '#core';

/** What one instance tells another about a target. */
export type TargetSummary = Readonly<{
	target: string;
	incarnation: string;
	leaving: boolean;
	/** Number of the newest cache event that is covered. */
	sequence: number;
	/** Piece keys believed to be cached. */
	keys: readonly string[];
}>;

/** A request that was sent and has not begun to answer. */
type Pending = Readonly<{sentMs: number; tokens: number}>;

/** What a peer says that it has in progress on the target. */
type PeerShare = Readonly<{atMs: number; requests: number; tokens: number}>;

const peerShareMs = 2000;
const maxRetired = 16;

/** The mutable state behind a {@link TargetView}. */
export class TargetState {
	readonly name: string;
	incarnation = '';
	report: LoadReport | undefined;
	/** Time at which the report's figures were measured. */
	measuredMs = Number.NEGATIVE_INFINITY;
	inFlight = 0;
	leaving = false;
	unreachable = false;
	readonly cache: CachedKeys;
	readonly #retired = new Set<string>();
	readonly #pending = new Set<Pending>();
	readonly #peers = new Map<string, PeerShare>();

	constructor(name: string, maxEntries: number) {
		this.name = name;
		this.cache = new CachedKeys(maxEntries);
	}

	applyReport(report: LoadReport, nowMs: number): void {
		if (!this.#advance(report.incarnation)) {
			return;
		}

		if (this.report?.weights !== report.weights) {
			this.cache.clear();
		}

		this.report = report;
		this.measuredMs = nowMs - report.ageMs;
		this.leaving ||= report.leaving;
		this.unreachable = false;
	}

	/** @returns whether events were missing */
	applyEvents(batch: CacheEventBatch): boolean {
		return this.#advance(batch.incarnation) && this.cache.applyEvents(batch);
	}

	/** Records what an answer says; answers never change the incarnation once one is known. */
	applyPrefill(incarnation: string, words: KeyWords): void {
		if (this.incarnation === '') {
			this.#advance(incarnation);
		}

		if (this.incarnation === incarnation) {
			this.cache.store(words);
		}
	}

	/** Takes in what another instance knows, unless this one knows of another incarnation or of newer events. */
	applySummary(summary: TargetSummary): void {
		const isOther = this.incarnation !== '' && this.incarnation !== summary.incarnation;
		if (isOther || this.#retired.has(summary.incarnation) || this.cache.sequence > summary.sequence) {
			return;
		}

		this.incarnation = summary.incarnation;
		this.leaving ||= summary.leaving;
		this.cache.load(parseKeys(summary.keys), summary.sequence);
	}

	/** Drops what belonged to a process that refuses connections. */
	lose(): void {
		this.unreachable = true;
		this.cache.clear();
		this.report = undefined;
		this.measuredMs = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Counts tokens as waiting for prefill.
	 *
	 * @returns a function that ends it
	 */
	addPending(tokens: number, sentMs: number): () => void {
		const pending = {tokens, sentMs};
		this.#pending.add(pending);
		return () => {
			this.#pending.delete(pending);
		};
	}

	setPeerShare(peer: string, share: PeerShare): void {
		this.#peers.set(peer, share);
	}

	deletePeerShare(peer: string): void {
		this.#peers.delete(peer);
	}

	/** Uncached tokens of this instance's requests there that have not begun to answer. */
	countPendingTokens(sinceMs = Number.NEGATIVE_INFINITY): number {
		let sum = 0;
		for (const {tokens, sentMs} of this.#pending) {
			sum += sentMs > sinceMs ? tokens : 0;
		}

		return sum;
	}

	/** What the peers have in progress there, as far as they said so lately. */
	countPeers(nowMs: number): Readonly<{requests: number; tokens: number}> {
		let requests = 0;
		let tokens = 0;
		for (const share of this.#peers.values()) {
			if (nowMs - share.atMs <= peerShareMs) {
				requests += share.requests;
				tokens += share.tokens;
			}
		}

		return {requests, tokens};
	}

	match(words: KeyWords): CachedPrefix {
		return this.cache.match(words);
	}

	/**
	 * Moves on to an incarnation, which drops what was known of the last one.
	 *
	 * @returns `false` for an incarnation that was already left behind
	 */
	#advance(incarnation: string): boolean {
		if (this.incarnation === incarnation) {
			return true;
		}

		if (this.#retired.has(incarnation)) {
			return false;
		}

		if (this.incarnation !== '') {
			this.#dropIncarnation(this.incarnation);
			this.cache.clear();
			this.leaving = false;
			this.report = undefined;
			this.measuredMs = Number.NEGATIVE_INFINITY;
		}

		this.incarnation = incarnation;
		return true;
	}

	#dropIncarnation(incarnation: string): void {
		this.#retired.add(incarnation);
		if (this.#retired.size > maxRetired) {
			const [oldest] = this.#retired;
			this.#retired.delete(oldest!);
		}
	}
}
