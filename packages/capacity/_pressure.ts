/** Requests that wait at the instances for each pool, as the instances tell each other. */
import type {Clock} from '#clock';
import type {ConfigurationStore} from '#configuration';
import type {PeerBus} from '#peer-protocol';

/** What the board works with. */
export type PressureDeps = Readonly<{
	clock: Clock;
	bus: PeerBus;
	configuration: ConfigurationStore;
	/** Requests that wait at this instance for a pool. */
	countWaiting: (pool: string) => number;
}>;

type Pressure = Readonly<{waiting: number; untilMs: number}>;

const pressureEveryMs = 1000;
const pressureLifeMs = 3000;

/** Keeps the newest count of each peer for a few seconds. */
export class PressureBoard {
	readonly #deps: PressureDeps;
	/** By peer, then by pool. */
	readonly #heard = new Map<string, Map<string, Pressure>>();

	constructor(deps: PressureDeps) {
		this.#deps = deps;
	}

	/** Starts telling and hearing; returns how to end it. */
	start(): () => void {
		const {bus, clock} = this.#deps;
		const endTelling = clock.subscribe(pressureEveryMs, () => {
			this.#tell();
		});
		const endHearing = bus.subscribe('pressure', (message, from) => {
			const untilMs = clock.now() + pressureLifeMs;
			this.#heard.set(from.name, new Map(message.pools.map(({pool, waiting}) => [pool, {waiting, untilMs}])));
		});
		return () => {
			endTelling();
			endHearing();
		};
	}

	/** Requests that wait for a pool, here and at the peers heard of lately. */
	sum(pool: string): number {
		const nowMs = this.#deps.clock.now();
		let total = this.#deps.countWaiting(pool);
		for (const [peer, pools] of this.#heard) {
			const pressure = pools.get(pool);
			if (pressure && pressure.untilMs > nowMs) {
				total += pressure.waiting;
			} else if ([...pools.values()].every(({untilMs}) => untilMs <= nowMs)) {
				this.#heard.delete(peer);
			}
		}

		return total;
	}

	#tell(): void {
		const pools = [...this.#deps.configuration.current?.pools.keys() ?? []]
			.map(pool => ({pool, waiting: this.#deps.countWaiting(pool)}))
			.filter(({waiting}) => waiting > 0);
		if (pools.length > 0) {
			this.#deps.bus.sample({kind: 'pressure', pools});
		}
	}
}
