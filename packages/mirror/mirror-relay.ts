/**
 * Transfers differences between mirrors from peer to peer. Heartbeats carry the
 * revisions of each peer's newest changes, and the epochs of the store to which
 * they belong; an instance that is behind requests the changes that it lacks from
 * the peer, and all objects if the peer is in a later epoch. In this way, changes also reach
 * instances that the object store refuses, or whose connection to it has gone
 * silent.
 */
import {Buffer} from 'node:buffer';
import type {KindMirror} from './kind-mirror.ts';
import type {Clock} from '#clock';
import type {Peer, PeerBus, PeerStatus} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

/** Dependencies of {@link MirrorRelay}. */
export type MirrorRelayDependencies = Readonly<{
	mirrors: readonly KindMirror[];
	bus: PeerBus;
	clock: Clock;
	telemetry: Telemetry;
	/** Whether the fleet is so large that only some instances watch the store. */
	isLargeFleet: () => boolean;
}>;

/** Revisions that a peer states, and the epochs to which they belong, by kind; programs that do not know of epochs state none. */
type Statement = Readonly<{revisions?: Readonly<Record<string, number>> | undefined; epochs?: Readonly<Record<string, number>> | undefined}>;

/** Time for which an instance waits for its own watch to receive a change that a peer already has, in milliseconds. */
const ownWatchGraceMs = 100;

/** Minimum time between broadcasts of revisions in a large fleet, in milliseconds. */
const broadcastIntervalMs = 200;

/** Maximum number of changed and of deleted objects in a response. */
const maxChanges = 4096;

/** Maximum size of the keys and values in a response; with the rest it fits into a frame. */
const maxChangesBytes = 1_150_000;

/** Requests differences from peers and answers their requests. */
export class MirrorRelay {
	readonly #dependencies: MirrorRelayDependencies;
	readonly #mirrorsByKind: ReadonlyMap<string, KindMirror>;
	readonly #requestedKinds = new Set<string>();
	/** What each neighbour has stated, by its incarnation. */
	readonly #statements = new Map<string, Statement>();
	/** Kinds of which this instance has seen the epoch change: programs that name no epoch may be in an earlier one. */
	readonly #changedKinds = new Set<string>();
	/** Whether there were changes since the last broadcast. */
	#hasPendingChanges = false;
	/** Whether the last broadcast was less than {@link broadcastIntervalMs} ago. */
	#isBroadcastPaused = false;

	constructor(dependencies: MirrorRelayDependencies) {
		this.#dependencies = dependencies;
		this.#mirrorsByKind = new Map(dependencies.mirrors.map(mirror => [mirror.kind, mirror]));
		// `objects` is the kind of the requested objects.
		dependencies.bus.setRequestHandler('changes', ({objects, since, epoch}) => {
			const mirror = this.#mirrorsByKind.get(objects);
			if (!mirror || mirror.revision === 0) {
				return undefined;
			}

			const canDiff = epoch === undefined ? !this.#changedKinds.has(objects) : epoch === mirror.certainEpoch;
			return createChangesResponse(mirror, canDiff ? since : undefined);
		});
		dependencies.bus.subscribe('positions', (positions, from) => {
			this.#compareRevisions(from, positions);
		});
		for (const mirror of dependencies.mirrors) {
			mirror.events.on('changed', ({isNewEpoch}) => {
				if (isNewEpoch) {
					this.#changedKinds.add(mirror.kind);
				}

				this.#broadcastRevisions();
			});
		}
	}

	/** Returns the revision of the newest known change of each kind, for heartbeats. */
	getRevisions(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#dependencies.mirrors.map(({kind, lastChangeRevision}) => [kind, lastChangeRevision]));
	}

	/** Returns the epoch to which the revision of each kind belongs, if known, for heartbeats. */
	getEpochs(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#dependencies.mirrors.flatMap(({kind, certainEpoch}) => certainEpoch === undefined ? [] : [[kind, certainEpoch]]));
	}

	/** Compares the revisions in a peer's heartbeat with this instance's mirrors. */
	handleHeartbeat(peer: Peer, status: PeerStatus): void {
		this.#compareRevisions(peer, status);
	}

	/** In a large fleet, sends the revisions of the newest changes to the neighbours without waiting for the next heartbeat. */
	#broadcastRevisions(): void {
		const {bus, clock, isLargeFleet} = this.#dependencies;
		if (this.#isBroadcastPaused || !isLargeFleet()) {
			this.#hasPendingChanges = true;
			return;
		}

		this.#hasPendingChanges = false;
		this.#isBroadcastPaused = true;
		const statement = {revisions: {...this.getRevisions()}, epochs: {...this.getEpochs()}};
		bus.sendToSample({kind: 'positions', ...statement}, peer => !this.#isUpToDate(peer, statement));
		this.#removeUnknownPeers();
		clock.setTimer(broadcastIntervalMs, () => {
			this.#isBroadcastPaused = false;
			if (this.#hasPendingChanges) {
				this.#broadcastRevisions();
			}
		});
	}

	/** Whether a peer has stated that it has all changes of a statement. */
	#isUpToDate({incarnation}: Peer, {revisions = {}, epochs = {}}: Statement): boolean {
		const stated = this.#statements.get(incarnation);
		return stated !== undefined && Object.entries(revisions).every(([kind, revision]) => {
			const isSameEpoch = stated.epochs === undefined || stated.epochs[kind] === epochs[kind];
			return isSameEpoch && (stated.revisions?.[kind] ?? 0) >= revision;
		});
	}

	/** Forgets what peers have stated to which no link is open any more. */
	#removeUnknownPeers(): void {
		const known = new Set(this.#dependencies.bus.listNeighbours().map(({incarnation}) => incarnation));
		for (const incarnation of this.#statements.keys()) {
			if (!known.has(incarnation)) {
				this.#statements.delete(incarnation);
			}
		}
	}

	/** Schedules a request to the peer for each kind in which it is ahead, unless one is scheduled or in progress. */
	#compareRevisions(peer: Peer, {revisions = {}, epochs}: Statement): void {
		this.#statements.set(peer.incarnation, {revisions, epochs});
		for (const [kind, revision] of Object.entries(revisions)) {
			const mirror = this.#mirrorsByKind.get(kind);
			const epoch = epochs?.[kind];
			if (mirror?.isBehind(revision, epoch) && !this.#requestedKinds.has(kind)) {
				this.#requestedKinds.add(kind);
				this.#dependencies.clock.setTimer(ownWatchGraceMs, () => {
					void this.#requestChanges(mirror, peer, {revision, epoch});
				});
			}
		}
	}

	/** Requests the changes from the peer, unless this instance's own watch has received them meanwhile. */
	async #requestChanges(mirror: KindMirror, peer: Peer, stated: Readonly<{revision: number; epoch: number | undefined}>): Promise<void> {
		const {bus, telemetry} = this.#dependencies;
		// Revisions of another epoch cannot be compared; nothing is known of the peer's one.
		const since = stated.epoch === undefined || stated.epoch === mirror.certainEpoch ? mirror.revision : 0;
		if (mirror.isBehind(stated.revision, stated.epoch)) {
			const response = await bus.request(peer, {
				kind: 'changes', objects: mirror.kind, since, ...(mirror.certainEpoch !== undefined && {epoch: mirror.certainEpoch}),
			});
			telemetry.count('mirror_fetches_total', {kind: mirror.kind, result: response.ok ? 'fetched' : response.error});
			// The store may have answered meanwhile.
			if (response.ok && mirror.isBehind(response.value.revision, response.value.epoch)) {
				const {isWhole, changed, deleted, revision, epoch} = response.value;
				if (isWhole) {
					mirror.replace(changed, revision, epoch);
				} else {
					mirror.apply({
						changed, deleted, revision, epoch,
					}, since);
				}
			}
		}

		this.#requestedKinds.delete(mirror.kind);
	}
}

/**
 * @param since absent if the changes cannot be told from those of another epoch: the response then has all objects
 * @returns `undefined` for changes that do not fit into one message, such as those of another writer; the peer would close the link on them
 */
function createChangesResponse(mirror: KindMirror, since: number | undefined) {
	const diff = since === undefined ? undefined : mirror.computeDiff(since);
	const changed = [...diff?.changed ?? mirror.list()].map(({key, value, version, revision}) => ({
		key, value, version, revision,
	}));
	const deleted = [...diff?.deleted ?? []];
	const bytes = changed.reduce((sum, {key, value}) => sum + Buffer.byteLength(key) + Buffer.byteLength(value), Buffer.byteLength(deleted.join('')));
	return Math.max(changed.length, deleted.length) > maxChanges || bytes > maxChangesBytes
		? undefined
		: {
			kind: 'changes' as const, isWhole: diff === undefined, changed, deleted,
			revision: mirror.revision, ...(mirror.certainEpoch !== undefined && {epoch: mirror.certainEpoch}),
		};
}
