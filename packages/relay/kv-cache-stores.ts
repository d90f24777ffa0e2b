/**
 * The stores of KV cache, and whether they answer. An engine that is told to fetch
 * from a store that does not answer loses some hundred milliseconds for each
 * prompt. One instance checks each store and notifies the others of its silence.
 */
import {waitForTick, type Clock} from '#clock';
import type {KvCacheStore} from '#core';
import type {PeerBus} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

/** Checks whether a store answers; takes a bounded time. */
export type CheckKvCacheStore = (store: KvCacheStore) => Promise<boolean>;

export type KvCacheStoresDependencies = Readonly<{
	clock: Clock;
	bus: PeerBus;
	telemetry: Telemetry;
	/** Lists the stores of the configuration in force. */
	listStores: () => readonly KvCacheStore[];
	checkStore: CheckKvCacheStore;
	/** Whether this instance checks a store. */
	isChecker: (store: KvCacheStore) => boolean;
}>;

/** Interval between checks of a store, in milliseconds; a check may take that long itself. */
const checkIntervalMs = 250;

/** Time for which a silent store is not used, in milliseconds; renewed while it stays silent. */
const suspectMs = 1500;

/** Interval at which peers are notified again of a silent store, in milliseconds: less than half of the time for which they do not use it. */
const renotifyIntervalMs = 500;

export class KvCacheStores {
	readonly #dependencies: KvCacheStoresDependencies;
	/** Times until which silent stores are not used, by address. */
	readonly #suspectUntilMs = new Map<string, number>();
	readonly #notifiedMs = new Map<string, number>();
	readonly #unsubscribe: () => void;

	constructor(dependencies: KvCacheStoresDependencies) {
		this.#dependencies = dependencies;
		this.#unsubscribe = dependencies.bus.subscribe('silent', ({incarnation}) => {
			if (dependencies.listStores().some(({address}) => address === incarnation)) {
				this.#suspect(incarnation);
			}
		});
	}

	/** Lists the stores that answer, as far as known. */
	listAnswering(): readonly KvCacheStore[] {
		const {clock, listStores} = this.#dependencies;
		return listStores().filter(({address}) => (this.#suspectUntilMs.get(address) ?? 0) <= clock.now());
	}

	/** Checks the stores assigned to this instance until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, listStores, isChecker} = this.#dependencies;
		while (!signal.aborted) {
			await Promise.all(listStores().filter(store => isChecker(store)).map(async store => this.#check(store)));
			await waitForTick(clock, checkIntervalMs, signal);
		}

		this.#unsubscribe();
	}

	async #check(store: KvCacheStore): Promise<void> {
		const {clock, bus, telemetry, checkStore} = this.#dependencies;
		const {address} = store;
		const wasSilent = this.#notifiedMs.has(address);
		const isSilent = !await checkStore(store);
		if (isSilent !== wasSilent) {
			telemetry.log(isSilent ? 'store of KV cache does not answer' : 'store of KV cache answers again', {address});
		}

		if (!isSilent) {
			this.#notifiedMs.delete(address);
			return;
		}

		this.#suspect(address);
		if (clock.now() - (this.#notifiedMs.get(address) ?? Number.NEGATIVE_INFINITY) >= renotifyIntervalMs) {
			this.#notifiedMs.set(address, clock.now());
			bus.broadcast({kind: 'silent', incarnation: address});
		}
	}

	#suspect(address: string): void {
		this.#suspectUntilMs.set(address, this.#dependencies.clock.now() + suspectMs);
	}
}
