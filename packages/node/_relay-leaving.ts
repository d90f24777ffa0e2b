/**
 * Spreads that a target is leaving. The first instance that learns of it, from
 * a load report or from the platform's list, tells all others, whose own
 * sources may lag.
 */
import type {PeerBus} from '#peer-protocol';
import type {TargetViews} from '#placement';
import type {InstanceEntry} from '#object-store';
import type {Telemetry} from '#telemetry';

/** Marks and tells leaving targets. */
export class LeavingRelay {
	readonly #bus: PeerBus;
	readonly #views: TargetViews;
	readonly #telemetry: Telemetry;
	/** Incarnation by target, of those that were told to be leaving. */
	readonly #told = new Map<string, string>();
	/** Incarnation by target, of those that the platform's list names. */
	readonly #listed = new Map<string, string>();

	constructor(bus: PeerBus, views: TargetViews, telemetry: Telemetry) {
		this.#telemetry = telemetry;
		this.#bus = bus;
		this.#views = views;
		bus.subscribe('leaving', ({name, incarnation}) => {
			this.#told.set(name, incarnation);
			this.check(name);
		});
	}

	/**
	 * Takes in the platform's list. It names no incarnation, so a mark counts for
	 * the incarnation that was known when the mark first appeared.
	 */
	readList(entries: readonly InstanceEntry[]): void {
		const leaving = new Set(entries.filter(entry => entry.kind === 'target' && entry.leaving).map(({name}) => name));
		for (const name of this.#listed.keys()) {
			if (!leaving.has(name)) {
				this.#listed.delete(name);
			}
		}

		for (const name of leaving) {
			const {incarnation} = this.#views.get(name);
			if (this.#listed.has(name) || incarnation === '') {
				continue;
			}

			this.#listed.set(name, incarnation);
			this.#views.markLeaving(name);
			this.check(name);
		}
	}

	/** Compares a target's view with what was told: tells the peers, or marks what they told before this instance knew the incarnation. */
	check(target: string): void {
		const {leaving, incarnation} = this.#views.get(target);
		const isTold = this.#told.get(target) === incarnation;
		if (isTold && !leaving) {
			this.#views.markLeaving(target);
		}

		if (leaving && !isTold) {
			this.#told.set(target, incarnation);
			this.#telemetry.log('target leaving', {target, incarnation});
			this.#bus.relay({kind: 'leaving', name: target, incarnation});
		}
	}
}
