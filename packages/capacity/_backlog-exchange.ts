/**
 * Exchange of the number of waiting requests per pool among the instances, so
 * that a pool's controller knows more than the backlog of its own instance. Each
 * instance sends its counts to a bounded sample of its peers.
 */
import type {Clock} from '#clock';
import type {ConfigurationStore} from '#configuration';
import type {PeerBus} from '#peer-protocol';

export type BacklogDependencies = Readonly<{
	clock: Clock;
	bus: PeerBus;
	configuration: ConfigurationStore;
	/** Counts the requests that wait at this instance for a pool. */
	countWaiting: (pool: string) => number;
}>;

type PeerBacklog = Readonly<{waiting: number; expiresMs: number}>;

const sendIntervalMs = 1000;
const backlogTtlMs = 3000;

/** Holds the latest counts of each peer until they expire. */
export class BacklogExchange {
	readonly #dependencies: BacklogDependencies;
	/** Counts by peer name, then by pool name. */
	readonly #peerBacklogs = new Map<string, Map<string, PeerBacklog>>();

	constructor(dependencies: BacklogDependencies) {
		this.#dependencies = dependencies;
	}

	/**
	 * Starts to send and receive counts.
	 *
	 * @returns a function that stops both
	 */
	start(): () => void {
		const {bus, clock} = this.#dependencies;
		const cancelSending = clock.subscribe(sendIntervalMs, () => {
			this.#send();
		});
		const unsubscribe = bus.subscribe('pressure', (message, from) => {
			const expiresMs = clock.now() + backlogTtlMs;
			this.#peerBacklogs.set(from.name, new Map(message.pools.map(({pool, waiting}) => [pool, {waiting, expiresMs}])));
		});
		return () => {
			cancelSending();
			unsubscribe();
		};
	}

	/** Sums the requests that wait for a pool at this instance and at the peers whose counts have not expired. */
	sumWaiting(pool: string): number {
		const nowMs = this.#dependencies.clock.now();
		let total = this.#dependencies.countWaiting(pool);
		for (const [peer, pools] of this.#peerBacklogs) {
			const peerBacklog = pools.get(pool);
			if (peerBacklog && peerBacklog.expiresMs > nowMs) {
				total += peerBacklog.waiting;
			} else if ([...pools.values()].every(({expiresMs}) => expiresMs <= nowMs)) {
				this.#peerBacklogs.delete(peer);
			}
		}

		return total;
	}

	#send(): void {
		const pools = [...this.#dependencies.configuration.current?.pools.keys() ?? []]
			.map(pool => ({pool, waiting: this.#dependencies.countWaiting(pool)}))
			.filter(({waiting}) => waiting > 0);
		if (pools.length > 0) {
			this.#dependencies.bus.sendToSample({kind: 'pressure', pools});
		}
	}
}
