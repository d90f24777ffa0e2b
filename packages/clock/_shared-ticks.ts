/**
 * Repeating timers that wake the process together: all handlers of one interval
 * run on the same tick. Hundreds of timers with a few different intervals, such
 * as one for each request in progress, then cost a few wake-ups.
 */
import type {Cancel} from './clock.ts';

/** Starts a repeating timer of the operating system. */
export type StartTicks = (intervalMs: number, handleTick: () => void) => Cancel;

type Group = Readonly<{handlers: Set<() => void>; stop: Cancel}>;

export class SharedTicks {
	readonly #start: StartTicks;
	readonly #groups = new Map<number, Group>();

	constructor(start: StartTicks) {
		this.#start = start;
	}

	/** Calls `handler` on each tick of an interval until it is cancelled; the first tick may come sooner than after the whole interval. */
	add(intervalMs: number, handler: () => void): Cancel {
		// Each subscription needs an identity of its own, as the same function may be added twice.
		const subscriber = () => {
			handler();
		};

		const {handlers, stop} = this.#getGroup(intervalMs);
		handlers.add(subscriber);
		return () => {
			handlers.delete(subscriber);
			if (handlers.size === 0 && this.#groups.get(intervalMs)?.handlers === handlers) {
				stop();
				this.#groups.delete(intervalMs);
			}
		};
	}

	#getGroup(intervalMs: number): Group {
		let group = this.#groups.get(intervalMs);
		if (!group) {
			const handlers = new Set<() => void>();
			const handleTick = () => {
				// Handlers may cancel or add others.
				const current = [...handlers];
				for (const handler of current) {
					if (handlers.has(handler)) {
						handler();
					}
				}
			};

			group = {handlers, stop: this.#start(intervalMs, handleTick)};
			this.#groups.set(intervalMs, group);
		}

		return group;
	}
}
