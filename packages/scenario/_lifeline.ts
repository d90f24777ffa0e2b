/**
 * Lets a scenario kill or pause one router of the process: everything that the
 * router hears from outside (timers, answers, messages) goes through its
 * lifeline, which holds it back while the router is paused, and for good once
 * it is dead.
 */
import {setMaxListeners} from 'node:events';
import type {Cancel, Clock} from '#clock';
import {
	fail, type Result, type TargetCall, type TargetConnector, type TargetFrame, type TargetLink,
} from '#core';
import type {PeerBus} from '#peer-protocol';
import type {ObjectStore, StoreFailure} from '#object-store';

type State = 'running' | 'paused' | 'dead';

const cutOff = fail<StoreFailure>({kind: 'unknown', detail: 'the platform cannot be reached from here'});

/** Holds back what reaches a paused or dead router. */
export class Lifeline {
	readonly #died = new AbortController();
	#state: State = 'running';
	#platformCut = false;
	#held: Array<() => void> = [];

	constructor() {
		setMaxListeners(0, this.#died.signal);
	}

	get state(): State {
		return this.#state;
	}

	/** Aborts when the router is killed, as its sockets close then. */
	get died(): AbortSignal {
		return this.#died.signal;
	}

	/** Ends the process without any of its clean-up. */
	kill(): void {
		this.#state = 'dead';
		this.#held = [];
		this.#died.abort();
	}

	pause(): void {
		this.#state = 'paused';
	}

	/** Lets everything through that was held back. */
	resume(): void {
		this.#state = 'running';
		const held = this.#held;
		this.#held = [];
		for (const run of held) {
			run();
		}
	}

	/** Runs a callback now, on resumption, or never. */
	pass(run: () => void): void {
		if (this.#state === 'running') {
			run();
		} else if (this.#state === 'paused') {
			this.#held.push(run);
		}
	}

	/** Resolves like `promise`, but not while the router is paused or dead. */
	async hold<Value>(promise: Promise<Value>): Promise<Value> {
		return new Promise((resolve, reject) => {
			promise.then(value => {
				this.pass(() => {
					resolve(value);
				});
			}, reject);
		});
	}

	/** The clock as the router sees it: time goes on, timers are held back. */
	wrapClock(clock: Clock): Clock {
		const after = (delayMs: number, handler: () => void): Cancel => clock.after(delayMs, () => {
			this.pass(handler);
		});
		return {
			now: () => clock.now(),
			wall: () => clock.wall(),
			after,
			subscribe: (intervalMs, handler) => clock.subscribe(intervalMs, () => {
				if (this.#state === 'running') {
					handler();
				}
			}),
			sleep: async (delayMs, signal) => this.hold(clock.sleep(delayMs, signal)),
		};
	}

	/** Cuts the router off from the platform, or connects it again; waiting watches stay silent. */
	setPlatformCut(isCut: boolean): void {
		this.#platformCut = isCut;
	}

	/** The platform as the router sees it. */
	wrapPlatform(platform: ObjectStore): ObjectStore {
		const reach = async <Value>(call: () => Promise<Result<Value, StoreFailure>>) => {
			const result = this.#platformCut ? cutOff : await call();
			return this.hold(Promise.resolve(this.#platformCut ? cutOff : result));
		};

		return {
			get: async key => reach(async () => platform.get(key)),
			put: async (key, value, options) => reach(async () => platform.put(key, value, options)),
			remove: async (key, options) => reach(async () => platform.remove(key, options)),
			list: async prefix => reach(async () => platform.list(prefix)),
			watch: async (prefix, revision, signal) => reach(async () => platform.watch(prefix, revision, signal)),
			listInstances: async () => reach(async () => platform.listInstances()),
		};
	}

	/** The targets as the router sees them; its connections break when it dies. */
	wrapConnector(connector: TargetConnector): TargetConnector {
		return {
			open: (pool, target) => this.#wrapLink(connector.open(pool, target)),
		};
	}

	/** The peers as the router sees them. */
	wrapBus(bus: PeerBus): PeerBus {
		return {
			...bus,
			subscribe: (kind, handler) => bus.subscribe(kind, (message, from) => {
				this.pass(() => {
					handler(message, from);
				});
			}),
		};
	}

	#wrapLink(link: TargetLink): TargetLink {
		const holdResult = async <Value, Failure>(result: Promise<Result<Value, Failure>>) => this.hold(result);
		return {
			run: (call, signal) => this.#wrapRun(link, call, signal),
			readReport: async signal => holdResult(link.readReport(signal)),
			readCacheEvents: async (after, signal) => holdResult(link.readCacheEvents(after, signal)),
			sendOrder: async (order, signal) => holdResult(link.sendOrder(order, signal)),
			close: async () => link.close(),
		};
	}

	async * #wrapRun(link: TargetLink, call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
		const frames = link.run(call, AbortSignal.any([signal, this.died]))[Symbol.asyncIterator]();
		for (;;) {
			const next = await this.hold(frames.next());
			if (next.done) {
				return;
			}

			yield next.value;
		}
	}
}
