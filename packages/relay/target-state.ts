/**
 * What this instance knows of one target: its connections, its weights, what
 * was sent to it by this instance and its peers, and how fast it has been.
 */
import type {TargetConnections} from './connections.ts';
import {sumAhead, TokenQueue} from './token-queue.ts';
import type {RelayTarget} from '#core';

/** Load as a target stated it in an answer. */
export type TargetLoad = Readonly<{
	running: number;
	waiting: number;
	slots: number;
}>;

/** What an instance has in progress on a target. */
export type TargetWork = Readonly<{
	requests: number;
	/** Prompt tokens that are still to be read, of requests that have not begun to answer, by urgency. */
	byUrgency: readonly number[];
}>;

type PeerWork = TargetWork & Readonly<{atMs: number}>;

/** Time for which a peer's word on its work counts, in milliseconds; it is repeated each second. */
const peerWorkMs = 2000;

/** Weight of the newest measurement in an average. */
const newestShare = 0.2;

/** Reading speed of an engine that has not been measured, in milliseconds for a token: that of a small engine. */
const firstMsPerToken = 0.02;

/** Bounds of a measured reading speed, in milliseconds for a token. */
const leastMsPerToken = 0.002;
const mostMsPerToken = 0.5;

/** Tokens that a measurement counts beside those of the prompt, for what every request costs. */
const overheadTokens = 500;

/** Time that a request at a plain target has taken before any was measured, in milliseconds. */
const firstServiceMs = 50;

/** State of one incarnation of a target. */
export class TargetState {
	target: RelayTarget;
	readonly connections: TargetConnections;
	/** Requests of this instance in progress there. */
	inFlight = 0;
	/** Prompt tokens that are still to be read, of this instance's requests there that have not begun to answer. */
	readonly pending = new TokenQueue();
	/** Last word of the target on its load. */
	load: TargetLoad | undefined;
	/** Time of that word, in milliseconds. */
	loadAtMs = Number.NEGATIVE_INFINITY;
	/** Version of the weights by model, as far as known; it only rises. */
	readonly weights = new Map<string, number>();
	/** Time until which the target is taken to load weights and to refuse requests, in milliseconds. */
	loadingUntilMs = Number.NEGATIVE_INFINITY;
	/** Whether another process has taken the target's address. */
	isGone = false;
	/** Time of the last answer or part of one from the target, in milliseconds. */
	heardMs = Number.NEGATIVE_INFINITY;
	/** Called when the target falls silent, for the requests that wait for it. */
	readonly silenceHandlers = new Set<() => void>();
	/** Time in which the target reads a token of a prompt, in milliseconds. */
	msPerToken = firstMsPerToken;
	/** Time from sending a request to its whole answer, of a target that is no engine, in milliseconds. */
	serviceMs = firstServiceMs;
	#suspectUntilMs = Number.NEGATIVE_INFINITY;
	readonly #peers = new Map<string, PeerWork>();

	constructor(target: RelayTarget, connections: TargetConnections) {
		this.target = target;
		this.connections = connections;
		this.update(target);
	}

	/** Time until which the target is passed over where others can serve, in milliseconds. */
	get suspectUntilMs(): number {
		return this.#suspectUntilMs;
	}

	/** Passes the target over for a time; idle connections may have gone silent with it. */
	suspect(untilMs: number): void {
		this.#suspectUntilMs = Math.max(this.#suspectUntilMs, untilMs);
		this.connections.closeIdle();
		for (const handler of this.silenceHandlers) {
			handler();
		}
	}

	/** Never uses the target again: its process has ended. */
	markGone(): void {
		this.isGone = true;
		this.suspect(Infinity);
	}

	/** Ends {@link TargetState.suspect}, as the target has answered. */
	trust(): void {
		this.#suspectUntilMs = Number.NEGATIVE_INFINITY;
	}

	/** Takes in the target's entry as it is listed now. */
	update(target: RelayTarget): void {
		this.target = target;
		for (const [model, version] of target.weights) {
			this.noteWeights(model, version);
		}
	}

	/** Takes in which version the target serves now, as it says itself. */
	setWeights(model: string, version: number): void {
		this.weights.set(model, version);
	}

	/** Takes in that the target serves a version, unless a newer one is known. */
	noteWeights(model: string, version: number): void {
		if (version > (this.weights.get(model) ?? 0)) {
			this.weights.set(model, version);
			this.loadingUntilMs = Number.NEGATIVE_INFINITY;
		}
	}

	/** Takes in what an answer states of the load. */
	noteLoad(load: TargetLoad, nowMs: number): void {
		this.load = load;
		this.loadAtMs = nowMs;
	}

	/** Takes in how long the first event of a prompt's answer took, with the tokens that were to be read before it. */
	noteFirstEvent(tokens: number, ms: number): void {
		const measured = Math.min(mostMsPerToken, Math.max(leastMsPerToken, ms / (tokens + overheadTokens)));
		this.msPerToken += (measured - this.msPerToken) * newestShare;
	}

	/** Takes in how long a whole answer of a target that is no engine took. */
	noteService(ms: number): void {
		this.serviceMs += (ms - this.serviceMs) * newestShare;
	}

	/** Takes in what a peer has in progress there. */
	setPeerWork(peer: string, work: TargetWork, nowMs: number): void {
		this.#peers.set(peer, {...work, atMs: nowMs});
	}

	deletePeerWork(peer: string): void {
		this.#peers.delete(peer);
	}

	/** Requests that this instance and, as far as they said so lately, its peers have in progress there. */
	countRequests(nowMs: number): number {
		return this.sumWork(nowMs, 0).requests;
	}

	/**
	 * What this instance and, as far as they said so lately, its peers have in progress there.
	 *
	 * @param urgency of a further request; only what is read before it counts among the tokens
	 */
	sumWork(nowMs: number, urgency: number): Readonly<{requests: number; tokens: number}> {
		let requests = this.inFlight;
		let tokens = this.pending.sumAhead(urgency);
		for (const work of this.#peers.values()) {
			if (nowMs - work.atMs <= peerWorkMs) {
				requests += work.requests;
				tokens += sumAhead(work.byUrgency, urgency);
			}
		}

		return {requests, tokens};
	}
}
