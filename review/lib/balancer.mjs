/**
 * A stand-in of the platform's load balancer: asks each machine once a second
 * whether it is ready. After two misses a machine gets no new connections until
 * it is ready again. A machine stands for its zone here, so while it is out of
 * rotation its callers go to the next one in rotation, and to their own if none is.
 */
const probeIntervalMs = 1000;
const maxMisses = 1;

export class Balancer {
	#routers;
	#misses = new Map();

	constructor(trial, routers) {
		this.#routers = routers;
		for (const router of routers) {
			const probe = async () => {
				const isReady = await router.isReady();
				this.#misses.set(router, isReady ? 0 : (this.#misses.get(router) ?? 0) + 1);
			};

			const timer = setInterval(probe, probeIntervalMs);
			trial.addCleanup(() => {
				clearInterval(timer);
			});
		}
	}

	/** Chooses the machine for a new connection of a caller in the zone with this number. */
	choose(zone) {
		const ordered = this.#routers.map((_, index) => this.#routers[(zone + index) % this.#routers.length]);
		return ordered.find(router => (this.#misses.get(router) ?? 0) <= maxMisses) ?? ordered[0];
	}
}
