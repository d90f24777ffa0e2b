/** The targets that are listed now, by pool, with the state of each. */
import type {ConnectionOptions} from './connection.ts';
import {TargetConnections} from './connections.ts';
import {TargetState} from './target-state.ts';
import type {SharedStatement} from './target-statements.ts';
import type {Clock} from '#clock';
import type {RelayTarget} from '#core';
import type {TargetWork} from '#placement';

/** Time for which the end of the statements of an earlier process is told, in milliseconds. */
const announceEndMs = 3000;

/** Time for which targets must have been listed, in milliseconds, and maximum age of a process, by clocks that may differ, for a target to count as one that has just started. */
const minObservedMs = 5000;
const maxStartAgeMs = 60_000;

/** Maximum number of processes that are kept after they are no longer listed. */
const maxUnlisted = 256;

/** Target states by id; a restarted target gets a new state. */
export class TargetSet {
	readonly #clock: Clock;
	readonly #options: ConnectionOptions;
	readonly #states = new Map<string, TargetState>();
	/** Ids of the targets on which each peer last reported work. */
	readonly #targetIdsByPeer = new Map<string, readonly string[]>();
	/** Software versions of the listed targets, by pool. */
	#listedVersions: ReadonlyMap<string, ReadonlySet<string>> = new Map();
	/** Time of the last update before which targets of each software version were listed, or at which they were recorded, by pool. */
	readonly #pastVersions = new Map<string, Map<string, number>>();
	/** Time of the first update with targets. */
	#observedSinceMs: number | undefined;
	/** States of processes that are not listed now, by incarnation, the last one at the end. */
	readonly #unlisted = new Map<string, TargetState>();
	#byIncarnation: ReadonlyMap<string, TargetState> = new Map();
	#pools: ReadonlyMap<string, readonly TargetState[]> = new Map();

	constructor(clock: Clock, options: ConnectionOptions) {
		this.#clock = clock;
		this.#options = options;
	}

	list(): readonly TargetState[] {
		return [...this.#states.values()];
	}

	/** Lists the names of the pools that have targets. */
	listPools(): readonly string[] {
		return [...this.#pools.keys()];
	}

	/** Lists the targets of a pool, including draining ones. */
	listPool(pool: string): readonly TargetState[] {
		return this.#pools.get(pool) ?? [];
	}

	get(id: string): TargetState | undefined {
		return this.#states.get(id);
	}

	/** Finds a target by the incarnation of its process. */
	findByIncarnation(incarnation: string): TargetState | undefined {
		return this.#byIncarnation.get(incarnation);
	}

	/** Lists the software versions of a pool's targets, including those that were listed within the last `withinMs` milliseconds. */
	listVersions(pool: string, withinMs: number): readonly string[] {
		const versions = new Set(this.#listedVersions.get(pool));
		const sinceMs = this.#clock.now() - withinMs;
		for (const [version, listedMs] of this.#pastVersions.get(pool) ?? []) {
			if (listedMs >= sinceMs) {
				versions.add(version);
			}
		}

		return [...versions];
	}

	/** Lists the versions of {@link listVersions} of all pools that have any. */
	listRecentVersions(withinMs: number): ReadonlyMap<string, readonly string[]> {
		const pools = new Set([...this.#pools.keys(), ...this.#pastVersions.keys()]);
		return new Map([...pools].map(pool => [pool, this.listVersions(pool, withinMs)] as const).filter(([, versions]) => versions.length > 0));
	}

	/** Records software versions that targets of a pool had until now, though this instance has not seen them listed. */
	recordVersions(pool: string, versions: readonly string[]): void {
		const past = this.#pastVersions.get(pool) ?? new Map<string, number>();
		this.#pastVersions.set(pool, past);
		for (const version of versions) {
			past.set(version, this.#clock.now());
		}
	}

	/** Whether targets have been listed for this time, in milliseconds. */
	hasObserved(durationMs: number): boolean {
		return this.#observedSinceMs !== undefined && this.#clock.now() - this.#observedSinceMs >= durationMs;
	}

	/** Whether {@link listVersions} returns several software versions for a pool. */
	hasSeveralVersions(withinMs: number): boolean {
		const sinceMs = this.#clock.now() - withinMs;
		for (const pool of this.#pools.keys()) {
			if (this.#hasSeveralListed(pool, sinceMs)) {
				return true;
			}
		}

		// A pool that is not listed any more may still have several past versions.
		return [...this.#pastVersions.keys()].some(pool => !this.#pools.has(pool) && this.#hasSeveralListed(pool, sinceMs));
	}

	/** Replaces the list. Connections to targets that are no longer listed are closed if they are idle; those with an exchange close at their idle timeout after it. */
	update(targets: readonly RelayTarget[]): void {
		this.#recordListedVersions();
		if (targets.length > 0) {
			this.#observedSinceMs ??= this.#clock.now();
		}

		const listed = new Set<string>();
		for (const target of removeReplaced(targets)) {
			listed.add(target.id);
			const known = this.#states.get(target.id);
			if (known && isSameProcess(known.target, target)) {
				known.update(target);
			} else {
				this.#unlist(known);
				this.#states.set(target.id, this.#takeUnlisted(target) ?? this.#create(target));
			}
		}

		for (const [id, state] of this.#states) {
			if (!listed.has(id)) {
				this.#unlist(state);
				this.#states.delete(id);
			}
		}

		this.#byIncarnation = new Map(this.list().map(state => [state.target.incarnation, state]));
		this.#pools = groupByPool(this.#states.values());
		this.#listedVersions = new Map([...this.#pools].map(([pool, states]) => [pool, new Set(states.map(({target}) => target.softwareVersion))]));
	}

	/** Lists the work that this instance has in progress on each target, and what the peers should know of the targets' statements. */
	listWork(): readonly TargetWork[] {
		const nowMs = this.#clock.now();
		return [...this.#states.values()].flatMap(state => {
			const {target, inFlight, pendingTokens} = state;
			const statement = state.statements.announce(nowMs);
			const limit = getUnnamedStatement(state, statement, nowMs);
			const held = state.held.report();
			const speed = target.startedWallMs > 0 ? state.speed.announce(nowMs) : undefined;
			const pace = target.startedWallMs > 0 ? state.pace.announce(nowMs) : undefined;
			return inFlight > 0 || (limit ?? pace)
				? [{
					target: target.id, ...(target.startedWallMs > 0 && {startedWallMs: target.startedWallMs}),
					requests: inFlight, tokens: pendingTokens.total, byUrgency: pendingTokens.list(),
					...(held && {held}), ...(limit && {limit}), ...(statement && {statement}), ...(speed && {speed}), ...(pace && {pace}),
				}]
				: [];
		});
	}

	/** Replaces the work that a peer has in progress with its newest report. What concerns another process than the one that is listed now is left out. */
	applyPeerWork(peer: string, work: readonly TargetWork[], nowMs: number): void {
		for (const id of this.#targetIdsByPeer.get(peer) ?? []) {
			this.#states.get(id)?.removePeerWork(peer);
		}

		this.#targetIdsByPeer.set(peer, work.map(({target}) => target));
		// Without counts by urgency, all tokens count as the most urgent.
		for (const {target, startedWallMs, requests, tokens, byUrgency = [tokens], held, statement, limit, speed, pace} of work) {
			const state = this.#states.get(target);
			if (!state || (startedWallMs !== undefined && startedWallMs !== state.target.startedWallMs)) {
				continue;
			}

			state.setPeerWork(peer, {requests, byUrgency, held}, nowMs);
			if (startedWallMs !== undefined && speed) {
				state.speed.merge(speed, nowMs);
			}

			if (startedWallMs !== undefined && pace) {
				state.pace.merge(pace, state.target.slots, nowMs);
			}

			const stated = statement ?? limit;
			if (startedWallMs !== undefined && statement) {
				state.statements.merge(statement, nowMs);
			} else if (startedWallMs === undefined && stated) {
				state.statements.mergeUnnamed(stated, nowMs);
			}
		}
	}

	/** Removes the work of all peers except those listed. */
	removePeersExcept(peers: readonly string[]): void {
		for (const peer of this.#targetIdsByPeer.keys()) {
			if (!peers.includes(peer)) {
				this.applyPeerWork(peer, [], 0);
				this.#targetIdsByPeer.delete(peer);
			}
		}
	}

	/** Closes all connections. */
	close(): void {
		for (const {connections} of [...this.#states.values(), ...this.#unlisted.values()]) {
			connections.close();
		}
	}

	/** Whether targets of a pool have several software versions, those included that were listed since a time. */
	#hasSeveralListed(pool: string, sinceMs: number): boolean {
		const listed = this.#listedVersions.get(pool);
		let count = listed?.size ?? 0;
		for (const [version, listedMs] of this.#pastVersions.get(pool) ?? []) {
			if (listedMs >= sinceMs && !listed?.has(version)) {
				count++;
			}
		}

		return count > 1;
	}

	/** Records the versions of the targets that are listed until now. */
	#recordListedVersions(): void {
		for (const {target: {pool, softwareVersion}} of this.#states.values()) {
			this.recordVersions(pool, [softwareVersion]);
		}
	}

	/** Keeps what is known of a process, as its entry may come back: after it has expired, or with an older copy of the store. */
	#unlist(state: TargetState | undefined): void {
		if (!state) {
			return;
		}

		state.connections.closeIdle();
		this.#unlisted.delete(state.target.incarnation);
		this.#unlisted.set(state.target.incarnation, state);
		if (this.#unlisted.size > maxUnlisted) {
			const [oldest] = this.#unlisted.keys();
			this.#unlisted.delete(oldest!);
		}
	}

	/** Returns the state of a process that is listed again. One whose start is unknown may be another process. */
	#takeUnlisted(target: RelayTarget): TargetState | undefined {
		const state = this.#unlisted.get(target.incarnation);
		if (!state || target.startedWallMs === 0 || !isSameProcess(state.target, target)) {
			return undefined;
		}

		this.#unlisted.delete(target.incarnation);
		// Checks set this for listed targets only.
		state.isUnreachable = false;
		state.update(target);
		return state;
	}

	#create(target: RelayTarget): TargetState {
		const state: TargetState = new TargetState(target, new TargetConnections(target.address, this.#clock, () => {
			state.lastReceivedMs = this.#clock.now();
			return state.lastReceivedMs;
		}, this.#options), this.#clock);
		if (this.hasObserved(minObservedMs) && (target.startedWallMs === 0 || this.#clock.getWallTimeMs() - target.startedWallMs < maxStartAgeMs)) {
			state.pace.begin(this.#clock.now(), true);
		}

		const hasPredecessor = [...this.#unlisted.values()].some(earlier => earlier.target.id === target.id && earlier.statements.isStating);
		state.succeededMs = hasPredecessor ? this.#clock.now() : Number.NEGATIVE_INFINITY;
		return state;
	}
}

/**
 * Returns what peers are told whose program takes a statement for one of whichever
 * process has the target's name now. They would never use a target again of which
 * they hear that it leaves, so they are not told that. They are told that the limits
 * of an earlier process have ended.
 */
function getUnnamedStatement({succeededMs}: TargetState, statement: SharedStatement | undefined, nowMs: number): SharedStatement | undefined {
	if (statement) {
		const {isLeaving: _isLeaving, ...limits} = statement;
		return limits;
	}

	return nowMs - succeededMs < announceEndMs ? {ageMs: nowMs - succeededMs} : undefined;
}

/** Of several targets at one address, keeps only the one that started last: the others have been replaced, and their entries have not expired yet. */
function removeReplaced(targets: readonly RelayTarget[]): readonly RelayTarget[] {
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

/** Whether two successive entries describe the same process. One that drains never becomes ready again, which shows a restart if the entries do not state the start. */
function isSameProcess(before: RelayTarget, after: RelayTarget): boolean {
	const isRestarted = after.startedWallMs === 0 && before.isDraining && !after.isDraining;
	return before.incarnation === after.incarnation && before.address === after.address && before.pool === after.pool && !isRestarted;
}
