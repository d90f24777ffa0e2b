/**
 * Notifies peers of draining targets. The first instance that learns from a
 * load report or from the platform's list that a target is draining notifies
 * all others, because their own sources may lag.
 */
import type {PeerBus} from '#peer-protocol';
import type {TargetViews} from '#placement';
import type {InstanceEntry} from '#object-store';
import type {Telemetry} from '#telemetry';

/** Marks draining targets here and notifies the peers of them. */
export class DrainingNotifier {
	readonly #bus: PeerBus;
	readonly #views: TargetViews;
	readonly #telemetry: Telemetry;
	/** Incarnations, by target, that peers were notified of or have reported as draining. */
	readonly #notified = new Map<string, string>();
	/** Incarnations, by target, that were known when the platform's list first marked the target. */
	readonly #listed = new Map<string, string>();

	constructor(bus: PeerBus, views: TargetViews, telemetry: Telemetry) {
		this.#telemetry = telemetry;
		this.#bus = bus;
		this.#views = views;
		bus.subscribe('leaving', ({name, incarnation}) => {
			this.#notified.set(name, incarnation);
			this.reconcile(name);
		});
	}

	/**
	 * Applies the platform's list. The list contains no incarnations, so a mark
	 * applies to the incarnation that was known when the mark first appeared.
	 */
	applyInstanceList(entries: readonly InstanceEntry[]): void {
		const draining = new Set(entries.filter(entry => entry.kind === 'target' && entry.leaving).map(({name}) => name));
		for (const name of this.#listed.keys()) {
			if (!draining.has(name)) {
				this.#listed.delete(name);
			}
		}

		for (const name of draining) {
			const {incarnation} = this.#views.get(name);
			if (this.#listed.has(name) || incarnation === '') {
				continue;
			}

			this.#listed.set(name, incarnation);
			this.#views.markLeaving(name);
			this.reconcile(name);
		}
	}

	/** Reconciles the view of a target with the notifications: marks the target if a peer reported it before this instance knew its incarnation, or notifies the peers. */
	reconcile(target: string): void {
		const {isLeaving: leaving, incarnation} = this.#views.get(target);
		const isNotified = this.#notified.get(target) === incarnation;
		if (isNotified && !leaving) {
			this.#views.markLeaving(target);
		}

		if (leaving && !isNotified) {
			this.#notified.set(target, incarnation);
			this.#telemetry.log('target leaving', {target, incarnation});
			this.#bus.broadcastViaPeers({kind: 'leaving', name: target, incarnation});
		}
	}
}
