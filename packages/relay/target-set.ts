/** The targets that are listed now, by pool, with what is known of each. */
import type {ConnectionOptions} from './connection.ts';
import {TargetConnections} from './connections.ts';
import {TargetState} from './target-state.ts';
import type {Clock} from '#clock';
import type {RelayTarget} from '#core';
import type {TargetShare} from '#placement';

/** Targets by identity; a further start of the same target is a new one. */
export class TargetSet {
	readonly #clock: Clock;
	readonly #options: ConnectionOptions;
	readonly #states = new Map<string, TargetState>();
	/** Targets that each peer last had work on. */
	readonly #sharesOfPeers = new Map<string, readonly string[]>();
	#byIncarnation: ReadonlyMap<string, TargetState> = new Map();
	#pools: ReadonlyMap<string, readonly TargetState[]> = new Map();

	constructor(clock: Clock, options: ConnectionOptions) {
		this.#clock = clock;
		this.#options = options;
	}

	/** All targets. */
	list(): readonly TargetState[] {
		return [...this.#states.values()];
	}

	/** Targets of a pool, leaving ones among them. */
	listPool(pool: string): readonly TargetState[] {
		return this.#pools.get(pool) ?? [];
	}

	get(id: string): TargetState | undefined {
		return this.#states.get(id);
	}

	/** Finds a target by the identity of its process. */
	findIncarnation(incarnation: string): TargetState | undefined {
		return this.#byIncarnation.get(incarnation);
	}

	/** Replaces the list. Connections of targets that are no longer listed are closed once idle. */
	update(targets: readonly RelayTarget[]): void {
		const listed = new Set<string>();
		for (const target of dropReplaced(targets)) {
			listed.add(target.id);
			const known = this.#states.get(target.id);
			if (known && isSameProcess(known.target, target)) {
				known.update(target);
			} else {
				known?.connections.closeIdle();
				this.#states.set(target.id, this.#create(target));
			}
		}

		for (const [id, state] of this.#states) {
			if (!listed.has(id)) {
				state.connections.closeIdle();
				this.#states.delete(id);
			}
		}

		this.#byIncarnation = new Map(this.list().map(state => [state.target.incarnation, state]));
		this.#pools = groupByPool(this.#states.values());
	}

	/** What this instance has in progress, target by target. */
	listShares(): readonly TargetShare[] {
		return [...this.#states.values()]
			.filter(({inFlight}) => inFlight > 0)
			.map(({target, inFlight, pending}) => ({
				target: target.id, requests: inFlight, tokens: pending.total, byUrgency: pending.list(),
			}));
	}

	/** Takes in what a peer has in progress; it replaces what that peer said before. */
	applyPeerShares(peer: string, shares: readonly TargetShare[], nowMs: number): void {
		for (const id of this.#sharesOfPeers.get(peer) ?? []) {
			this.#states.get(id)?.deletePeerWork(peer);
		}

		this.#sharesOfPeers.set(peer, shares.map(({target}) => target));
		for (const {target, requests, tokens, byUrgency = [tokens]} of shares) {
			this.#states.get(target)?.setPeerWork(peer, {requests, byUrgency}, nowMs);
		}
	}

	/** Forgets all peers but these. */
	forgetPeersExcept(names: readonly string[]): void {
		for (const peer of this.#sharesOfPeers.keys()) {
			if (!names.includes(peer)) {
				this.applyPeerShares(peer, [], 0);
				this.#sharesOfPeers.delete(peer);
			}
		}
	}

	/** Closes all connections. */
	close(): void {
		for (const {connections} of this.#states.values()) {
			connections.close();
		}
	}

	#create(target: RelayTarget): TargetState {
		const state: TargetState = new TargetState(target, new TargetConnections(target.address, this.#clock, () => {
			state.heardMs = this.#clock.now();
			return state.heardMs;
		}, this.#options));
		return state;
	}
}

/** Of two targets at one address, only the one that started last is there: the other's entry has yet to lapse. */
function dropReplaced(targets: readonly RelayTarget[]): readonly RelayTarget[] {
	const newest = new Map<string, number>();
	for (const {address, startedWallMs} of targets) {
		newest.set(address, Math.max(newest.get(address) ?? 0, startedWallMs));
	}

	return targets.filter(({address, startedWallMs}) => startedWallMs === newest.get(address));
}

function groupByPool(states: Iterable<TargetState>): ReadonlyMap<string, readonly TargetState[]> {
	const pools = new Map<string, TargetState[]>();
	for (const state of states) {
		const {pool} = state.target;
		const members = pools.get(pool) ?? [];
		members.push(state);
		pools.set(pool, members);
	}

	return pools;
}

function isSameProcess(a: RelayTarget, b: RelayTarget): boolean {
	return a.incarnation === b.incarnation && a.address === b.address && a.pool === b.pool;
}
