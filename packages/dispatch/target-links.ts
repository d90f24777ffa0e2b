/** Keeps one open link to each target address. */
import type {
	Target, TargetConnector, TargetLink, TargetPool,
} from '#core';

/** Opens the link to a target when it is first needed and keeps it open. */
export class TargetLinks {
	readonly #connector: TargetConnector;
	readonly #links = new Map<string, TargetLink>();

	constructor(connector: TargetConnector) {
		this.#connector = connector;
	}

	get(pool: TargetPool, target: Target): TargetLink {
		const key = `${pool.name}/${target.name}/${target.address}`;
		let link = this.#links.get(key);
		if (!link) {
			link = this.#connector.open(pool, target);
			this.#links.set(key, link);
		}

		return link;
	}

	async close(): Promise<void> {
		await Promise.all([...this.#links.values()].map(async link => link.close()));
	}
}
