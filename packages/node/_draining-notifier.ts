/**
 * Notifies peers of draining targets. The first instance that learns from a
 * load report or from the platform's list that a target is draining notifies
 * all others, because their own sources may lag.
 */
import type {PeerBus} from '#peer-protocol';
import type {TargetViews} from '#placement';
import type {InstanceEntry} from '#object-store';
import type {Telemetry} from '#telemetry';

/** Number of lists in a row that show a target without the mark, after which a mark that its own report does not confirm no longer counts. */
const maxUnmarkedLists = 3;

/** Marks draining targets on this instance and notifies the peers of them. */
export class DrainingNotifier {
	readonly #bus: PeerBus;
	readonly #views: TargetViews;
	readonly #telemetry: Telemetry;
	/** By target, the draining incarnation that this instance has broadcast or received from a peer. */
	readonly #sharedIncarnations = new Map<string, string>();
	/** By target that the platform's list marks as leaving, the incarnation that was known when the mark first appeared. */
	readonly #listedIncarnations = new Map<string, string>();
	/** By draining target, the number of lists in a row that show it without the mark. */
	readonly #unmarkedLists = new Map<string, number>();

	constructor(bus: PeerBus, views: TargetViews, telemetry: Telemetry) {
		this.#telemetry = telemetry;
		this.#bus = bus;
		this.#views = views;
		bus.subscribe('leaving', ({name, incarnation}) => {
			this.#sharedIncarnations.set(name, incarnation);
			this.reconcile(name);
		});
	}

	/**
	 * Applies the platform's list. The list marks a target as leaving, but not which
	 * of its incarnations, so a mark applies to the incarnation that was known when
	 * the mark first appeared. As the list may lag behind a restart, this can be the
	 * wrong one; the mark ends once the list shows the target without it.
	 */
	applyInstanceList(entries: readonly InstanceEntry[]): void {
		const draining = new Set(entries.filter(entry => entry.kind === 'target' && entry.leaving).map(({name}) => name));
		for (const name of this.#listedIncarnations.keys()) {
			if (!draining.has(name)) {
				this.#listedIncarnations.delete(name);
			}
		}

		for (const name of draining) {
			const {incarnation} = this.#views.get(name);
			if (this.#listedIncarnations.has(name) || incarnation === '') {
				continue;
			}

			this.#listedIncarnations.set(name, incarnation);
			this.#views.markDraining(name);
			this.reconcile(name);
		}

		this.#clearEndedMarks(new Set(entries.filter(entry => entry.kind === 'target' && !entry.leaving).map(({name}) => name)));
	}

	/**
	 * Compares the view of a target with the notifications. Marks the target as
	 * draining if a peer reported its current incarnation, perhaps before this
	 * instance knew it. Notifies the peers if the target is draining and they have
	 * not been notified.
	 */
	reconcile(target: string): void {
		const {isDraining, incarnation} = this.#views.get(target);
		const isShared = this.#sharedIncarnations.get(target) === incarnation;
		if (isShared && !isDraining) {
			this.#views.markDraining(target);
		}

		if (isDraining && !isShared) {
			this.#sharedIncarnations.set(target, incarnation);
			this.#telemetry.log('target leaving', {target, incarnation});
			this.#bus.broadcastViaPeers({kind: 'leaving', name: target, incarnation});
		}
	}

	/** Ends the marks of targets that are listed without one and do not report that they drain. */
	#clearEndedMarks(staying: ReadonlySet<string>): void {
		for (const name of this.#sharedIncarnations.keys()) {
			const {isDraining, incarnation, report} = this.#views.get(name);
			const isEnded = staying.has(name) && isDraining && report?.leaving === false;
			const lists = isEnded ? (this.#unmarkedLists.get(name) ?? 0) + 1 : 0;
			this.#unmarkedLists.set(name, lists);
			if (lists >= maxUnmarkedLists) {
				this.#sharedIncarnations.delete(name);
				this.#unmarkedLists.delete(name);
				this.#views.clearDraining(name);
				this.#telemetry.log('target no longer leaving', {target: name, incarnation});
			}
		}
	}
}
