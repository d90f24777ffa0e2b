/**
 * Mirrors the configuration, targets and weights in the object store, and applies
 * each change: passes configurations to the gateway, updates the target set, and
 * records published weights.
 */
import type {StoredFormats} from './relay-instance.ts';
import {runTask} from './_run-task.ts';
import type {StoreWatchers} from './_store-watchers.ts';
import type {Clock} from '#clock';
import {
	fail, getErrorMessage, type Random, type RelayConfiguration, type RelayTarget, type Result,
} from '#core';
import type {Gateway} from '#gateway';
import {
	refreshMirror, syncMirror, KindMirror, MirrorRelay, type MirrorChange,
} from '#mirror';
import {UnreadableEntries, type ObjectStore, type StoredObject} from '#object-store';
import type {Peer, PeerBus, PeerStatus} from '#peer-protocol';
import {TargetListing, type TargetSet, type PublishedWeights} from '#relay';
import type {WeightsRollout} from '#rollout';
import {recordEscapedError, type Telemetry} from '#telemetry';

/** Dependencies of {@link StoreMirrors}. */
export type StoreMirrorsDependencies = Readonly<{
	formats: StoredFormats;
	clock: Clock;
	telemetry: Telemetry;
	bus: PeerBus;
	gateway: Pick<Gateway, 'configuration' | 'applyConfiguration'>;
	targets: TargetSet;
	publishedWeights: PublishedWeights;
	rollout: Pick<WeightsRollout, 'wake'>;
	watchers: StoreWatchers;
	/** Called with each configuration that comes into force. */
	handleConfiguration: (configuration: RelayConfiguration) => void;
	/** Called when the instance has a configuration and a list of targets; may be called more than once. */
	handleReady: () => void;
	/** Called when the store answers again after a call that failed, or has come back from an older copy. */
	handleStoreReturn: () => void;
}>;

type DecodedTarget = Readonly<{stored: StoredObject; target: RelayTarget | undefined}>;

/** Mirrors of the configuration, the targets and the published weights. */
export class StoreMirrors {
	readonly #dependencies: StoreMirrorsDependencies;
	readonly #configuration: KindMirror;
	readonly #targets: KindMirror;
	readonly #weights: KindMirror;
	readonly #mirrorRelay: MirrorRelay;
	readonly #listing: TargetListing;
	readonly #unreadable: UnreadableEntries;
	/** Decoded target entries by key, each with the object that it was decoded from. */
	#decodedTargets: ReadonlyMap<string, DecodedTarget> = new Map();
	#isStoreAnswering = true;
	/** Epoch of the targets that were decoded last; 0 before the first. */
	#targetsEpoch = 0;

	constructor(dependencies: StoreMirrorsDependencies) {
		const {formats: {kinds}, clock, telemetry, bus} = dependencies;
		this.#dependencies = dependencies;
		this.#configuration = new KindMirror(kinds.configuration);
		this.#targets = new KindMirror(kinds.targets);
		this.#weights = new KindMirror(kinds.weights);
		this.#listing = new TargetListing(clock);
		this.#unreadable = new UnreadableEntries(telemetry);
		this.#mirrorRelay = new MirrorRelay({
			mirrors: this.#listMirrors(), clock, telemetry, bus, isLargeFleet: () => dependencies.watchers.isLargeFleet,
		});
		this.#subscribe(this.#configuration, () => {
			this.#applyConfigurations();
		});
		this.#subscribe(this.#targets, () => {
			this.#decodeTargets();
		});
		this.#subscribe(this.#weights, ({isFirstList}) => {
			this.#recordWeights(!isFirstList);
		});
		for (const mirror of this.#listMirrors()) {
			mirror.events.on('changed', ({isNewEpoch}) => {
				if (isNewEpoch) {
					telemetry.count('store_restores_total', {kind: mirror.kind});
					telemetry.log('object store has come back from an older copy; the kind is read anew', {kind: mirror.kind, epoch: mirror.epoch, revision: mirror.revision});
				}
			});
		}
	}

	/** Whether the store has answered the last call, or is available according to the instances that call it. */
	get isStoreAnswering(): boolean {
		return this.#isStoreAnswering;
	}

	/** Returns the revision of the newest known change of each kind. */
	getRevisions(): Readonly<Record<string, number>> {
		return this.#mirrorRelay.getRevisions();
	}

	/** Returns the epoch to which the revision of each kind belongs, if known. */
	getEpochs(): Readonly<Record<string, number>> {
		return this.#mirrorRelay.getEpochs();
	}

	/** Compares the revisions in a peer's heartbeat with those of the mirrors, and merges the ages of published weights. */
	handleHeartbeat(peer: Peer, status: PeerStatus): void {
		const {telemetry, publishedWeights, rollout} = this.#dependencies;
		this.#mirrorRelay.handleHeartbeat(peer, status);
		const newer = (status.weightsAges ?? []).filter(statement => publishedWeights.merge(statement));
		for (const {model, versions} of newer) {
			const [version, ageMs] = versions.at(-1)!;
			telemetry.log('new version of weights published', {
				model, version, ageMs, statedBy: peer.name,
			});
		}

		if (newer.length > 0) {
			rollout.wake();
		}
	}

	/** Keeps the mirrors up to date with the store until `signal` aborts. */
	async run(store: ObjectStore, random: Random, signal: AbortSignal): Promise<void> {
		const {clock, telemetry, watchers, handleStoreReturn} = this.#dependencies;
		await Promise.all(this.#listMirrors().map(async mirror => runTask(`mirror ${mirror.kind}`, async () => syncMirror({
			mirror, store, clock, random, telemetry, watchers,
			handleAvailability: isAvailable => {
				this.#isStoreAnswering = isAvailable;
				// The end of an outage determines when retained entries are dropped.
				if (this.#listing.recordStoreCall(isAvailable)) {
					this.#updateTargets();
					handleStoreReturn();
				}
			},
		}, signal), {clock, telemetry}, signal)));
	}

	/** Brings the targets up to date with the store at once; returns whether it has answered. */
	async refreshTargets(store: ObjectStore, signal: AbortSignal): Promise<boolean> {
		const isRefreshed = await refreshMirror(this.#targets, store, signal);
		// The event of the mirror comes later than this call returns.
		this.#decodeTargets();
		return isRefreshed;
	}

	#listMirrors(): readonly KindMirror[] {
		return [this.#configuration, this.#targets, this.#weights];
	}

	#subscribe({kind, events}: KindMirror, handler: (change: MirrorChange) => void): void {
		events.on('changed', change => {
			try {
				handler(change);
			} catch (error) {
				recordEscapedError(this.#dependencies.telemetry, 'change', error, {kind});
			}
		});
	}

	#applyConfigurations(): void {
		const {formats, telemetry, gateway, handleConfiguration} = this.#dependencies;
		for (const stored of this.#configuration.list()) {
			const decoded = this.#decodeStored(stored, formats.decodeConfiguration);
			if (!decoded.ok) {
				telemetry.count('configuration_rejected_total');
				telemetry.log('configuration rejected: it could not be decoded', {name: stored.key, revision: stored.revision, fault: decoded.error});
			} else if (gateway.applyConfiguration(decoded.value)) {
				if (decoded.value.omitted) {
					this.#unreadable.record(stored, `left out: ${decoded.value.omitted.join('; ')}`);
				}

				handleConfiguration(decoded.value);
			}
		}

		this.#checkReady();
	}

	#decodeTargets(): void {
		const {formats, handleStoreReturn} = this.#dependencies;
		const {epoch} = this.#targets;
		if (epoch !== this.#targetsEpoch && this.#targetsEpoch > 0) {
			this.#listing.recordRestore();
			handleStoreReturn();
		}

		this.#targetsEpoch = epoch;
		// Only changed entries are decoded; otherwise a change to one of hundreds would cost as much as decoding the whole list.
		this.#decodedTargets = new Map(this.#targets.list().map(stored => {
			const previous = this.#decodedTargets.get(stored.key);
			return [stored.key, previous?.stored === stored ? previous : {stored, target: this.#decode(stored, formats.decodeTarget)}];
		}));
		this.#listing.update([...this.#decodedTargets.values()].map(({target}) => target).filter(target => target !== undefined));
		this.#updateTargets();
		this.#checkReady();
	}

	/** Updates the target set, and again when entries that are retained after an outage of the store are dropped, or held back after its return from a copy are listed. */
	#updateTargets(): void {
		const {targets, rollout, clock} = this.#dependencies;
		targets.update(this.#listing.list());
		rollout.wake();
		const retentionMs = this.#listing.computeRetentionMs();
		if (retentionMs !== undefined) {
			clock.setTimer(retentionMs + 1, () => {
				this.#updateTargets();
			});
		}
	}

	#recordWeights(wereListed: boolean): void {
		const {formats, telemetry, publishedWeights, rollout} = this.#dependencies;
		for (const stored of this.#weights.list()) {
			const weights = this.#decode(stored, formats.decodeWeights);
			if (weights && publishedWeights.record(weights.model, weights.version, {wasListed: wereListed, isWatching: this.#weights.isFollowingStore})) {
				// The age is `null` if it is taken to be above any bound.
				telemetry.log('new version of weights published', {...weights, ageMs: publishedWeights.get(weights.model)?.at(-1)?.ageMs, wasListedFirst: !wereListed});
			}
		}

		rollout.wake();
	}

	/** Decodes an entry; returns `undefined` for one that cannot be read, of which no other entry suffers. */
	#decode<Value>(stored: StoredObject, decode: (stored: StoredObject) => Result<Value, string>): Value | undefined {
		const decoded = this.#decodeStored(stored, decode);
		if (decoded.ok) {
			return decoded.value;
		}

		this.#unreadable.record(stored, decoded.error);
		return undefined;
	}

	/** Decodes an object; an error of the decoder concerns this object alone. */
	#decodeStored<Value>(stored: StoredObject, decode: (stored: StoredObject) => Result<Value, string>): Result<Value, string> {
		try {
			return stored.fault === undefined ? decode(stored) : fail(stored.fault);
		} catch (error) {
			recordEscapedError(this.#dependencies.telemetry, 'entry', error, {key: stored.key, revision: stored.revision});
			return fail(getErrorMessage(error));
		}
	}

	#checkReady(): void {
		if (this.#dependencies.gateway.configuration && this.#targets.revision > 0) {
			this.#dependencies.handleReady();
		}
	}
}
