/**
 * Simulates the operating-system process of one router, so that a scenario can
 * pause or kill a router that shares its real process with the test. Timers,
 * answers and peer messages reach the router through wrappers, which hold them
 * back while the router is paused and discard them once it is killed.
 */
import {setMaxListeners} from 'node:events';
import type {Cancel, Clock} from '#clock';
import {
	fail, type Result, type TargetCall, type TargetConnector, type TargetFrame, type TargetLink,
} from '#core';
import type {PeerBus} from '#peer-protocol';
import type {ObjectStore, StoreFailure} from '#object-store';

type ProcessState = 'running' | 'paused' | 'killed';

const platformUnreachable = fail<StoreFailure>({kind: 'unknown', detail: 'the scenario cut this router off from the platform'});

/** Holds back the input of a paused router and discards that of a killed one. */
export class RouterProcess {
	readonly #killController = new AbortController();
	#state: ProcessState = 'running';
	#isPlatformCut = false;
	#heldCallbacks: Array<() => void> = [];

	constructor() {
		setMaxListeners(0, this.#killController.signal);
	}

	get state(): ProcessState {
		return this.#state;
	}

	/** Aborts when the router is killed, because the sockets of a killed process close. */
	get killedSignal(): AbortSignal {
		return this.#killController.signal;
	}

	/** Stops the router without any clean-up, as SIGKILL does. */
	kill(): void {
		this.#state = 'killed';
		this.#heldCallbacks = [];
		this.#killController.abort();
	}

	pause(): void {
		this.#state = 'paused';
	}

	/** Continues a paused router and runs the callbacks that were held back. */
	resume(): void {
		this.#state = 'running';
		const callbacks = this.#heldCallbacks;
		this.#heldCallbacks = [];
		for (const callback of callbacks) {
			callback();
		}
	}

	/** Runs a callback now if the router is running, on resumption if it is paused, and never if it is killed. */
	runWhenRunning(callback: () => void): void {
		if (this.#state === 'running') {
			callback();
		} else if (this.#state === 'paused') {
			this.#heldCallbacks.push(callback);
		}
	}

	/**
	 * Resolves like `promise`, but not while the router is paused, and never once it is killed.
	 * A rejection is passed on at once in every state.
	 */
	async resolveWhenRunning<Value>(promise: Promise<Value>): Promise<Value> {
		return new Promise((resolve, reject) => {
			promise.then(value => {
				this.runWhenRunning(() => {
					resolve(value);
				});
			}, reject);
		});
	}

	/**
	 * Wraps the clock of the router. The time advances in every state. One-shot
	 * timers and sleeps are held back while the router is paused; ticks of
	 * subscriptions are dropped.
	 */
	wrapClock(clock: Clock): Clock {
		const setTimer = (delayMs: number, handler: () => void): Cancel => clock.setTimer(delayMs, () => {
			this.runWhenRunning(handler);
		});
		return {
			now: () => clock.now(),
			getWallTimeMs: () => clock.getWallTimeMs(),
			setTimer,
			subscribe: (intervalMs, handler) => clock.subscribe(intervalMs, () => {
				if (this.#state === 'running') {
					handler();
				}
			}),
			sleep: async (delayMs, signal) => this.resolveWhenRunning(clock.sleep(delayMs, signal)),
		};
	}

	/**
	 * Disconnects the router from the platform, or connects it again. A pending
	 * watch gets no notice of the cut: it fails only when the platform answers it.
	 */
	setPlatformCut(isCut: boolean): void {
		this.#isPlatformCut = isCut;
	}

	/** Wraps the platform of the router; each call fails while the router is cut off. */
	wrapPlatform(platform: ObjectStore): ObjectStore {
		const request = async <Value>(call: () => Promise<Result<Value, StoreFailure>>) => {
			const result = this.#isPlatformCut ? platformUnreachable : await call();
			return this.resolveWhenRunning(Promise.resolve(this.#isPlatformCut ? platformUnreachable : result));
		};

		return {
			get: async key => request(async () => platform.get(key)),
			put: async (key, value, options) => request(async () => platform.put(key, value, options)),
			remove: async (key, options) => request(async () => platform.remove(key, options)),
			list: async prefix => request(async () => platform.list(prefix)),
			watch: async (prefix, revision, signal) => request(async () => platform.watch(prefix, revision, signal)),
			listInstances: async () => request(async () => platform.listInstances()),
		};
	}

	/** Wraps the targets of the router; its connections break when it is killed. */
	wrapConnector(connector: TargetConnector): TargetConnector {
		return {
			open: (pool, target) => this.#wrapLink(connector.open(pool, target)),
		};
	}

	/** Wraps the peer bus of the router: messages to it are held back while it is paused. Requests from peers are answered even then. */
	wrapBus(bus: PeerBus): PeerBus {
		return {
			...bus,
			subscribe: (kind, handler) => bus.subscribe(kind, (message, from) => {
				this.runWhenRunning(() => {
					handler(message, from);
				});
			}),
		};
	}

	#wrapLink(link: TargetLink): TargetLink {
		const resolveResult = async <Value, Failure>(result: Promise<Result<Value, Failure>>) => this.resolveWhenRunning(result);
		return {
			run: (call, signal) => this.#wrapRun(link, call, signal),
			readReport: async signal => resolveResult(link.readReport(signal)),
			readCacheEvents: async (after, signal) => resolveResult(link.readCacheEvents(after, signal)),
			sendOrder: async (order, signal) => resolveResult(link.sendOrder(order, signal)),
			close: async () => link.close(),
		};
	}

	async * #wrapRun(link: TargetLink, call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
		const frames = link.run(call, AbortSignal.any([signal, this.killedSignal]))[Symbol.asyncIterator]();
		for (;;) {
			const next = await this.resolveWhenRunning(frames.next());
			if (next.done) {
				return;
			}

			yield next.value;
		}
	}
}
