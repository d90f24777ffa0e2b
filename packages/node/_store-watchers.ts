/**
 * Decides which instances watch the object store. In a small fleet, all
 * instances do. In a large one, only a few watch and the others receive changes
 * from their neighbours, so that the number of calls to the store does not grow
 * with the fleet. A watcher that gets no answer from the store is blind: it
 * broadcasts `blind` messages, and further instances watch as well.
 */
import type {Clock} from '#clock';
import {maxFullMeshPeers} from '#membership';
import type {WatchPace} from '#mirror';
import type {PeerBus} from '#peer-protocol';

/** Dependencies of {@link StoreWatchers}. */
export type StoreWatchersDependencies = Readonly<{
	clock: Clock;
	bus: PeerBus;
	/** This instance's incarnation. */
	self: string;
	/** Lists the incarnations of the `count` instances that rank first for a duty. */
	listFirst: (duty: string, count: number) => readonly string[];
}>;

/** Number of instances that always watch: enough that one remains if a zone or half of the instances fail. */
const watcherCount = 5;

/** Maximum number of instances that watch, including those that replace blind watchers. */
const candidateCount = 12;

/** Minimum number of blind instances among the first {@link watcherCount} at which the store counts as unavailable. If fewer are blind, the store only refuses some instances. */
const minBlindWatchers = 3;

/** How often the first {@link minBlindWatchers} watchers watch: changes and outages of the store are noticed by them. */
const eagerPace: WatchPace = {pauseMs: 200};

/** How often the other watchers watch, which stand by for the first ones. */
const standbyPace: WatchPace = {waitMs: 9000, pauseMs: 1000};

/** Time without an answer from the store after which a watcher is blind, in milliseconds: less than half of the time in which a change must reach all instances. */
const blindTimeoutMs = 800;

/** Time between the `blind` messages of a blind watcher, in milliseconds. */
const broadcastIntervalMs = 500;

/** Time after its last `blind` message for which a watcher counts as blind, in milliseconds. */
const blindExpiryMs = 1300;

const dutyName = 'store';

/** The watchers as seen by one instance. */
export class StoreWatchers {
	readonly #dependencies: StoreWatchersDependencies;
	/** Time of the last `blind` message of each watcher, in milliseconds. */
	readonly #lastBlindMs = new Map<string, number>();
	#unansweredSinceMs: number | undefined;
	#lastBroadcastMs = Number.NEGATIVE_INFINITY;

	constructor(dependencies: StoreWatchersDependencies) {
		this.#dependencies = dependencies;
		dependencies.bus.subscribe('blind', (_message, from) => {
			this.#lastBlindMs.set(from.incarnation, dependencies.clock.now());
		});
	}

	/** Whether the fleet is so large that only some instances watch. */
	get isLargeFleet(): boolean {
		return this.#dependencies.bus.listPeers().length > maxFullMeshPeers;
	}

	isWatcher(): boolean {
		const {self, listFirst} = this.#dependencies;
		if (!this.isLargeFleet) {
			return true;
		}

		const candidates = listFirst(dutyName, candidateCount);
		const rank = candidates.indexOf(self);
		if (rank === -1) {
			return false;
		}

		return rank < watcherCount || candidates.slice(0, rank).filter(incarnation => !this.#isBlind(incarnation)).length < watcherCount;
	}

	/** Returns how often this instance watches in a large fleet. A watcher that replaces a blind one watches as often as the first ones. */
	getPace(): WatchPace {
		const rank = this.#dependencies.listFirst(dutyName, candidateCount).indexOf(this.#dependencies.self);
		const isStandby = rank >= minBlindWatchers && rank < watcherCount && !this.#dependencies.listFirst(dutyName, watcherCount).some(incarnation => this.#isBlind(incarnation));
		return isStandby ? standbyPace : eagerPace;
	}

	/** Whether the store is unavailable according to the watchers. */
	isStoreUnavailable(): boolean {
		return this.#dependencies.listFirst(dutyName, watcherCount).filter(incarnation => this.#isBlind(incarnation)).length >= minBlindWatchers;
	}

	/** Records whether the store answered a call of this instance, and broadcasts `blind` if it has not for {@link blindTimeoutMs}. */
	recordAnswer(isAnswered: boolean): void {
		const {clock, bus, self} = this.#dependencies;
		if (isAnswered) {
			this.#unansweredSinceMs = undefined;
			return;
		}

		const nowMs = clock.now();
		this.#unansweredSinceMs ??= nowMs;
		if (this.isLargeFleet && nowMs - this.#unansweredSinceMs >= blindTimeoutMs && nowMs - this.#lastBroadcastMs >= broadcastIntervalMs) {
			this.#lastBroadcastMs = nowMs;
			this.#lastBlindMs.set(self, nowMs);
			bus.broadcast({kind: 'blind'});
		}
	}

	#isBlind(incarnation: string): boolean {
		return this.#dependencies.clock.now() - (this.#lastBlindMs.get(incarnation) ?? Number.NEGATIVE_INFINITY) <= blindExpiryMs;
	}
}
