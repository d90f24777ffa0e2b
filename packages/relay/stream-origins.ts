/**
 * Where each resumable stream began: its pool, and the version of the software
 * of the target that sent its first event. A stream may only go on at that
 * version, also when its caller resumes it at another instance.
 */
import type {Cancel, Clock} from '#clock';
import {hash64} from '#core';

/** Where a stream began. */
export type StreamOrigin = Readonly<{pool: string; softwareVersion: string}>;

/** A stream, by its key, and its origin. */
export type StreamOriginRecord = Readonly<{key: string; origin: StreamOrigin}>;

/** Computes the key of a stream from its customer's name and the id of the request that brought its first event; a customer cannot affect the streams of others. */
export function computeStreamKey(customer: string | undefined, requestId: string): string {
	return hash64(`${customer ?? ''}\n${requestId}`);
}

/** Minimum time for which an origin is kept, in milliseconds: callers resume a stream within the timeout of its route. */
export const originRetentionMs = 30_000;

/** Maximum number of origins that one generation keeps; the oldest are dropped. */
const maxOrigins = 16_384;

/** Maximum number of origins that wait to be announced; the oldest are dropped. */
const maxUnannounced = 1024;

/** Origins of streams that began at this instance or, by their announcements, at peers. They are kept in two generations, of which the older one is dropped at regular intervals. */
export class StreamOrigins {
	readonly #clock: Clock;
	#newer = new Map<string, StreamOrigin>();
	#older: ReadonlyMap<string, StreamOrigin> = new Map();
	#newerSinceMs: number;
	readonly #unannounced = new Map<string, StreamOrigin>();
	readonly #unannouncedHandlers = new Set<() => void>();
	readonly #ownHandlers = new Set<(record: StreamOriginRecord) => void>();
	readonly #waiting = new Map<string, Set<(origin: StreamOrigin) => void>>();

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#newerSinceMs = clock.now();
	}

	/** Records a stream that began at this instance. */
	recordOwn(key: string, origin: StreamOrigin): void {
		this.record({key, origin});
		addBounded(this.#unannounced, key, origin, maxUnannounced);
		for (const handler of this.#ownHandlers) {
			handler({key, origin});
		}

		for (const handler of this.#unannouncedHandlers) {
			handler();
		}
	}

	/** Calls `handler` for each stream that begins at this instance. */
	subscribeOwn(handler: (record: StreamOriginRecord) => void): Cancel {
		this.#ownHandlers.add(handler);
		return () => {
			this.#ownHandlers.delete(handler);
		};
	}

	/** Marks origins as not announced yet, so that peers which have joined since learn of them. */
	markUnannounced(records: readonly StreamOriginRecord[]): void {
		for (const {key, origin} of records) {
			addBounded(this.#unannounced, key, origin, maxUnannounced);
		}
	}

	/** Calls `handler` whenever a stream begins at this instance, and at once if the origins of some were not announced yet. */
	subscribeUnannounced(handler: () => void): Cancel {
		this.#unannouncedHandlers.add(handler);
		if (this.#unannounced.size > 0) {
			handler();
		}

		return () => {
			this.#unannouncedHandlers.delete(handler);
		};
	}

	/** Records an announced origin. The first record of a stream stays. */
	record({key, origin}: StreamOriginRecord): void {
		this.#expire();
		const kept = this.get(key) ?? origin;
		addBounded(this.#newer, key, kept, maxOrigins);
		for (const handler of this.#waiting.get(key) ?? []) {
			handler(kept);
		}
	}

	/** Returns the origin of a stream if it is kept. */
	get(key: string): StreamOrigin | undefined {
		return this.#newer.get(key) ?? this.#older.get(key);
	}

	/** Removes and returns up to `max` of this instance's origins that were not announced yet, the oldest first. */
	takeUnannounced(max: number): readonly StreamOriginRecord[] {
		this.#expire();
		for (const key of this.#unannounced.keys()) {
			if (!this.get(key)) {
				this.#unannounced.delete(key);
			}
		}

		const taken = [...this.#unannounced].slice(0, max).map(([key, origin]) => ({key, origin}));
		for (const {key} of taken) {
			this.#unannounced.delete(key);
		}

		return taken;
	}

	/** Calls `handler` whenever the origin of this stream is recorded. */
	subscribe(key: string, handler: (origin: StreamOrigin) => void): Cancel {
		const handlers = this.#waiting.get(key) ?? new Set();
		this.#waiting.set(key, handlers);
		handlers.add(handler);
		return () => {
			handlers.delete(handler);
			if (handlers.size === 0 && this.#waiting.get(key) === handlers) {
				this.#waiting.delete(key);
			}
		};
	}

	#expire(): void {
		if (this.#clock.now() - this.#newerSinceMs >= originRetentionMs) {
			this.#older = this.#newer;
			this.#newer = new Map();
			this.#newerSinceMs = this.#clock.now();
		}
	}
}

function addBounded(map: Map<string, StreamOrigin>, key: string, origin: StreamOrigin, max: number): void {
	map.set(key, origin);
	if (map.size > max) {
		const [oldest] = map.keys();
		map.delete(oldest!);
	}
}
