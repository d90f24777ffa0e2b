/**
 * Which instances watch the object store. While there are few instances, all
 * of them do. Beyond, a few watch, the others hear of changes from their
 * neighbours: calls to the store would grow with the fleet otherwise. Watchers
 * that the store does not answer say so, and others watch beside them.
 */
import type {Clock} from '#clock';
import {meshPeers} from '#membership';
import type {PeerBus} from '#peer-protocol';

/** What the choice of watchers works with. */
export type StoreWatchersDeps = Readonly<{
	clock: Clock;
	bus: PeerBus;
	/** This instance's incarnation. */
	self: string;
	/** Incarnations of the instances that come first for a duty. */
	listFirst: (duty: string, count: number) => readonly string[];
}>;

/** Instances that always watch: enough that a zone's loss or a kill of half the instances leaves one. */
const watcherCount = 5;

/** Instances that may watch in place of those that the store does not answer. */
const candidateCount = 12;

/** Blind ones of the first watchers by which the store counts as away and not only as refusing some. */
const awayCount = 3;

/** Time without an answer after which a watcher is blind, in milliseconds: less than half of the time in which news must arrive. */
const blindMs = 800;

/** Time between a blind watcher's messages, in milliseconds, and time for which one counts. */
const tellMs = 500;
const toldMs = 1300;

const dutyName = 'store';

/** The watchers as one instance sees them. */
export class StoreWatchers {
	readonly #deps: StoreWatchersDeps;
	/** When each blind watcher last said so, in milliseconds. */
	readonly #blind = new Map<string, number>();
	#unansweredSinceMs: number | undefined;
	#saidMs = Number.NEGATIVE_INFINITY;

	constructor(deps: StoreWatchersDeps) {
		this.#deps = deps;
		deps.bus.subscribe('blind', (_message, from) => {
			this.#blind.set(from.incarnation, deps.clock.now());
		});
	}

	/** Whether the instances are so many that only some watch. */
	get isFleet(): boolean {
		return this.#deps.bus.listPeers().length > meshPeers;
	}

	/** Whether this instance watches now. */
	isWatcher(): boolean {
		const {self, listFirst} = this.#deps;
		if (!this.isFleet) {
			return true;
		}

		const candidates = listFirst(dutyName, candidateCount);
		const place = candidates.indexOf(self);
		if (place === -1) {
			return false;
		}

		return place < watcherCount || candidates.slice(0, place).filter(incarnation => !this.#isBlind(incarnation)).length < watcherCount;
	}

	/** Whether the store is away, as far as those that watch it say. */
	isAway(): boolean {
		return this.#deps.listFirst(dutyName, watcherCount).filter(incarnation => this.#isBlind(incarnation)).length >= awayCount;
	}

	/** Takes in whether the store answered a call of this instance. */
	note(isAnswered: boolean): void {
		const {clock, bus, self} = this.#deps;
		if (isAnswered) {
			this.#unansweredSinceMs = undefined;
			return;
		}

		const nowMs = clock.now();
		this.#unansweredSinceMs ??= nowMs;
		if (this.isFleet && nowMs - this.#unansweredSinceMs >= blindMs && nowMs - this.#saidMs >= tellMs) {
			this.#saidMs = nowMs;
			this.#blind.set(self, nowMs);
			bus.spread({kind: 'blind'});
		}
	}

	#isBlind(incarnation: string): boolean {
		return this.#deps.clock.now() - (this.#blind.get(incarnation) ?? Number.NEGATIVE_INFINITY) <= toldMs;
	}
}
