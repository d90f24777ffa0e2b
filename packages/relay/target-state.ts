/**
 * State of one target as this instance knows it: its connections, its weights,
 * the work that this instance and its peers have in progress there, and its
 * measured speed.
 */
import type {TargetConnections} from './connections.ts';
import {HeldMemory, type HeldReport} from './held-memory.ts';
import {TargetPace} from './target-pace.ts';
import {TargetSpeed} from './target-speed.ts';
import {TargetStatements} from './target-statements.ts';
import {sumAhead, TokenQueue} from './token-queue.ts';
import type {Clock} from '#clock';
import type {RelayTarget} from '#core';

/** Load that a target reported in an answer. */
export type TargetLoad = Readonly<{
	running: number;
	waiting: number;
	slots: number;
	/** Time that work takes on the target at this moment, in hundredths of the normal time; absent if the target does not state it. */
	percent?: number | undefined;
}>;

/** Work that an instance has in progress on a target. */
export type InstanceWork = Readonly<{
	requests: number;
	/** Prompt tokens that the target still has to read, of requests whose answer has not started, by urgency. */
	byUrgency: readonly number[];
	/** Memory that its requests hold; absent from instances that do not state it. */
	held?: HeldReport | undefined;
}>;

type PeerWork = InstanceWork & Readonly<{receivedMs: number; removeHeld?: (() => void) | undefined}>;

/** Time for which a peer's report of its work is valid, in milliseconds; peers report each second. */
const peerWorkValidityMs = 2000;

/** Time for which a target's open connections are taken to be alive after something was received from it, in milliseconds; shorter than a cut takes to be noticed. */
const aliveMs = 300;

/** Time for which a target whose start is unknown is excluded because its process ends or has ended, in milliseconds: a later process cannot be told from it. */
const maxUnknownExclusionMs = 30_000;

/** State of one incarnation of a target. */
export class TargetState {
	target: RelayTarget;
	readonly connections: TargetConnections;
	/** Number of requests that this instance has in progress on the target. */
	inFlight = 0;
	/** Prompt tokens that the target still has to read, of this instance's requests whose answer has not started. */
	readonly pendingTokens = new TokenQueue();
	/** Memory that requests in progress hold on the target. */
	readonly held = new HeldMemory();
	readonly statements: TargetStatements;
	/** Load that the target reported last. */
	load: TargetLoad | undefined;
	/** Time at which that load was received, in milliseconds. */
	loadReceivedMs = Number.NEGATIVE_INFINITY;
	/** Known version of the weights by model; it only rises, except by {@link TargetState.setWeights}. */
	readonly weights = new Map<string, number>();
	/** Time until which the target is assumed to load weights and to refuse requests, in milliseconds. */
	loadingUntilMs = Number.NEGATIVE_INFINITY;
	/** Whether this instance reaches no target of the pool over new connections. */
	isUnreachable = false;
	/** Time at which the target last sent an answer or a part of one, in milliseconds. */
	lastReceivedMs = Number.NEGATIVE_INFINITY;
	/** Time at which this process took the place of an earlier one under the target's id that had stated something about itself, in milliseconds. */
	succeededMs = Number.NEGATIVE_INFINITY;
	/** Called when the target is suspected; one per exchange in progress whose request may be sent again. */
	readonly suspicionHandlers = new Set<() => void>();
	readonly speed = new TargetSpeed();
	readonly pace = new TargetPace();
	#suspectUntilMs = Number.NEGATIVE_INFINITY;
	readonly #peers = new Map<string, PeerWork>();
	readonly #clock: Pick<Clock, 'now'>;
	/** Whether an entry of the process was draining. */
	#hasDrained = false;
	/** Time until which the target is excluded as another process has taken over its address, in milliseconds. */
	#replacedUntilMs = Number.NEGATIVE_INFINITY;
	/** Time for which the target is excluded if its process ends, in milliseconds. */
	readonly #maxExclusionMs: number;

	constructor(target: RelayTarget, connections: TargetConnections, clock: Pick<Clock, 'now'>) {
		this.target = target;
		this.connections = connections;
		this.#clock = clock;
		this.#maxExclusionMs = target.startedWallMs > 0 ? Infinity : maxUnknownExclusionMs;
		this.statements = new TargetStatements(this.#maxExclusionMs);
		this.update(target);
	}

	/** Whether the target is about to stop, as the store, its answers or peers state. */
	get isLeaving(): boolean {
		return this.#hasDrained || this.statements.leavingUntilMs > this.#clock.now();
	}

	/** Whether another process has taken over the target's address. */
	get isReplaced(): boolean {
		return this.#replacedUntilMs > this.#clock.now();
	}

	/** Time until which other targets are preferred to this one, in milliseconds. */
	get suspectUntilMs(): number {
		return this.#suspectUntilMs;
	}

	/**
	 * Suspects the target of not answering: other targets are preferred until `untilMs`. Closes its idle connections, which may no longer reach it.
	 *
	 * @param mayHaveEnded whether its process may have ended, so that it has to find its pace again
	 */
	suspect(untilMs: number, mayHaveEnded = true): void {
		if (mayHaveEnded) {
			this.pace.begin(this.#clock.now(), false);
		}

		this.#suspectUntilMs = Math.max(this.#suspectUntilMs, untilMs);
		this.connections.closeIdle();
		for (const handler of this.suspicionHandlers) {
			handler();
		}
	}

	/** Sets whether the target can be reached over new connections. If it cannot, idle connections are kept only while the target still sends something over others. */
	setUnreachable(isUnreachable: boolean, nowMs: number): void {
		this.isUnreachable = isUnreachable;
		if (isUnreachable && nowMs - this.lastReceivedMs > aliveMs) {
			this.connections.closeIdle();
		}
	}

	/** Excludes the target, as its process has ended and another one has taken over its address: for good if that process is known. */
	markReplaced(): void {
		this.#replacedUntilMs = this.#clock.now() + this.#maxExclusionMs;
		this.suspect(this.#replacedUntilMs);
	}

	/** Ends the effect of {@link TargetState.suspect}, as the target has answered. */
	clearSuspicion(): void {
		this.#suspectUntilMs = Number.NEGATIVE_INFINITY;
	}

	/** Updates the target's entry to the one listed now. A process that has drained does not become ready again, even if an older copy of the store says so. */
	update(target: RelayTarget): void {
		this.target = target;
		this.#hasDrained ||= target.isDraining;
		for (const [model, version] of target.weights) {
			this.recordWeights(model, version);
		}
	}

	/** Sets the version that the target itself states to serve now. */
	setWeights(model: string, version: number): void {
		this.weights.set(model, version);
	}

	/** Records that the target serves a version, unless a newer one is known. */
	recordWeights(model: string, version: number): void {
		if (version > (this.weights.get(model) ?? 0)) {
			this.weights.set(model, version);
			this.loadingUntilMs = Number.NEGATIVE_INFINITY;
			// It refused requests while it was loading.
			this.statements.clearAvoidance();
		}
	}

	recordLoad(load: TargetLoad, nowMs: number): void {
		this.load = load;
		this.loadReceivedMs = nowMs;
		if (load.percent !== undefined) {
			this.speed.recordFigure(load.percent, nowMs);
		}
	}

	/** Counts the requests in progress on the target by what it stated last, and by what this instance and its peers have sent. */
	countInProgress(nowMs: number): number {
		return Math.max(this.countRequests(nowMs), this.load ? this.load.running + this.load.waiting : 0);
	}

	/** Sets the work that a peer has in progress on the target. */
	setPeerWork(peer: string, work: InstanceWork, nowMs: number): void {
		this.removePeerWork(peer);
		this.#peers.set(peer, {...work, receivedMs: nowMs, removeHeld: work.held && this.held.addReport(work.held)});
	}

	removePeerWork(peer: string): void {
		this.#peers.get(peer)?.removeHeld?.();
		this.#peers.delete(peer);
	}

	/** Counts the requests that this instance and, by their latest valid reports, its peers have in progress on the target. */
	countRequests(nowMs: number): number {
		return this.sumWork(nowMs, 0).requests;
	}

	/**
	 * Sums the work that this instance and, by their latest valid reports, its peers have in progress on the target.
	 *
	 * @param urgency urgency of a prompt; only tokens that the target reads before it are counted
	 */
	sumWork(nowMs: number, urgency: number): Readonly<{requests: number; tokens: number}> {
		let requests = this.inFlight;
		let tokens = this.pendingTokens.sumAhead(urgency);
		for (const [peer, work] of this.#peers) {
			if (nowMs - work.receivedMs <= peerWorkValidityMs) {
				requests += work.requests;
				tokens += sumAhead(work.byUrgency, urgency);
			} else {
				this.removePeerWork(peer);
			}
		}

		return {requests, tokens};
	}
}
