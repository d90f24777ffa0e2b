/**
 * The copies of the object store's kinds that an instance works by, and what
 * follows from each change: a configuration in force, a list of targets, newly
 * named weights.
 */
import type {StoredFormats} from './relay-instance.ts';
import type {StoreWatchers} from './_store-watchers.ts';
import type {Clock} from '#clock';
import type {Random, RelayConfiguration, RelayTarget} from '#core';
import type {Gateway} from '#gateway';
import {followKind, KindMirror, MirrorRelay} from '#mirror';
import type {ObjectStore} from '#object-store';
import type {Peer, PeerBus, PeerStatus} from '#peer-protocol';
import {TargetListing, type TargetSet, type WeightsBoard} from '#relay';
import type {WeightsRollout} from '#rollout';
import type {Telemetry} from '#telemetry';

/** What the copies work with. */
export type StoreCopiesDeps = Readonly<{
	formats: StoredFormats;
	clock: Clock;
	telemetry: Telemetry;
	bus: PeerBus;
	gateway: Pick<Gateway, 'configuration' | 'install'>;
	targets: TargetSet;
	board: WeightsBoard;
	rollout: Pick<WeightsRollout, 'wake'>;
	watchers: StoreWatchers;
	/** Called with each configuration that comes into force. */
	configured: (configuration: RelayConfiguration) => void;
	/** Called when all that serving needs is there; perhaps more than once. */
	complete: () => void;
}>;

type DecodedTarget = Readonly<{revision: number; target: RelayTarget | undefined}>;

/** Copies of the configuration, the targets and the named weights. */
export class StoreCopies {
	readonly #deps: StoreCopiesDeps;
	readonly #configuration: KindMirror;
	readonly #targets: KindMirror;
	readonly #weights: KindMirror;
	readonly #relay: MirrorRelay;
	readonly #listing: TargetListing;
	/** Decoded entries of targets by key, with the revision that they were decoded from. */
	#decoded: ReadonlyMap<string, DecodedTarget> = new Map();

	constructor(deps: StoreCopiesDeps) {
		const {formats: {kinds}, clock, telemetry, bus} = deps;
		this.#deps = deps;
		this.#configuration = new KindMirror(kinds.configuration);
		this.#targets = new KindMirror(kinds.targets);
		this.#weights = new KindMirror(kinds.weights);
		this.#listing = new TargetListing(clock);
		this.#relay = new MirrorRelay({
			mirrors: this.#list(), clock, telemetry, bus, isFleet: () => deps.watchers.isFleet,
		});
		this.#configuration.events.on('changed', () => {
			this.#installConfiguration();
		});
		this.#targets.events.on('changed', () => {
			this.#readTargets();
		});
		this.#weights.events.on('changed', () => {
			this.#readWeights();
		});
	}

	/** The newest change that is known of each kind. */
	readRevisions(): Readonly<Record<string, number>> {
		return this.#relay.readRevisions();
	}

	/** Takes in the newest changes that a peer knows. */
	hear(peer: Peer, status: PeerStatus): void {
		this.#relay.hear(peer, status);
	}

	/** Follows the store until `signal` aborts. */
	async run(store: ObjectStore, random: Random, signal: AbortSignal): Promise<void> {
		const {clock, telemetry, watchers} = this.#deps;
		await Promise.all(this.#list().map(async mirror => followKind({
			mirror, store, clock, random, telemetry, watchers,
			heard: isAnswered => {
				if (this.#listing.noteStore(isAnswered)) {
					this.#updateTargets();
				}
			},
		}, signal)));
	}

	#list(): readonly KindMirror[] {
		return [this.#configuration, this.#targets, this.#weights];
	}

	#installConfiguration(): void {
		const {formats, telemetry, gateway, configured} = this.#deps;
		for (const stored of this.#configuration.list()) {
			const decoded = formats.decodeConfiguration(stored);
			if (!decoded.ok) {
				telemetry.count('configuration_rejected_total');
				telemetry.log('configuration not understood', {name: stored.key, revision: stored.revision, fault: decoded.error});
			} else if (gateway.install(decoded.value)) {
				configured(decoded.value);
			}
		}

		this.#checkComplete();
	}

	#readTargets(): void {
		const {formats} = this.#deps;
		// An entry that has not changed is not decoded again: each change of one of hundreds would cost as much as a list.
		this.#decoded = new Map(this.#targets.list().map(stored => {
			const known = this.#decoded.get(stored.key);
			return [stored.key, known?.revision === stored.revision ? known : {revision: stored.revision, target: formats.decodeTarget(stored)}];
		}));
		this.#listing.update([...this.#decoded.values()].map(({target}) => target).filter(target => target !== undefined));
		this.#updateTargets();
		this.#checkComplete();
	}

	#updateTargets(): void {
		const {targets, rollout, clock} = this.#deps;
		targets.update(this.#listing.list());
		rollout.wake();
		const holdMs = this.#listing.readHoldMs();
		if (holdMs !== undefined) {
			clock.after(holdMs + 1, () => {
				this.#updateTargets();
			});
		}
	}

	#readWeights(): void {
		const {formats, telemetry, board, rollout} = this.#deps;
		for (const stored of this.#weights.list()) {
			const weights = formats.decodeWeights(stored);
			if (weights && board.note(weights.model, weights.version)) {
				telemetry.log('weights named', weights);
			}
		}

		rollout.wake();
	}

	#checkComplete(): void {
		if (this.#deps.gateway.configuration && this.#targets.revision > 0) {
			this.#deps.complete();
		}
	}
}
