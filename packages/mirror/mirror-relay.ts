/**
 * Transfers differences between mirrors from peer to peer. Heartbeats carry the
 * revisions of each peer's newest changes; an instance that is behind requests
 * the changes that it lacks from the peer. In this way, changes also reach
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
	/** Revisions that each neighbour has stated, by its incarnation. */
	readonly #statedRevisions = new Map<string, Readonly<Record<string, number>>>();
	/** Whether there were changes since the last broadcast. */
	#hasPendingChanges = false;
	/** Whether the last broadcast was less than {@link broadcastIntervalMs} ago. */
	#isBroadcastPaused = false;

	constructor(dependencies: MirrorRelayDependencies) {
		this.#dependencies = dependencies;
		this.#mirrorsByKind = new Map(dependencies.mirrors.map(mirror => [mirror.kind, mirror]));
		// `objects` is the kind of the requested objects.
		dependencies.bus.setRequestHandler('changes', ({objects, since}) => {
			const mirror = this.#mirrorsByKind.get(objects);
			return mirror && mirror.revision > 0 ? createChangesResponse(mirror, since) : undefined;
		});
		dependencies.bus.subscribe('positions', ({revisions}, from) => {
			this.#compareRevisions(from, revisions);
		});
		for (const mirror of dependencies.mirrors) {
			mirror.events.on('changed', () => {
				this.#broadcastRevisions();
			});
		}
	}

	/** Returns the revision of the newest known change of each kind, for heartbeats. */
	getRevisions(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#dependencies.mirrors.map(({kind, lastChangeRevision}) => [kind, lastChangeRevision]));
	}

	/** Compares the revisions in a peer's heartbeat with this instance's mirrors. */
	handleHeartbeat(peer: Peer, {revisions = {}}: PeerStatus): void {
		this.#compareRevisions(peer, revisions);
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
		const revisions = {...this.getRevisions()};
		bus.sendToSample({kind: 'positions', revisions}, peer => !this.#isUpToDate(peer, revisions));
		this.#removeUnknownPeers();
		clock.setTimer(broadcastIntervalMs, () => {
			this.#isBroadcastPaused = false;
			if (this.#hasPendingChanges) {
				this.#broadcastRevisions();
			}
		});
	}

	/** Whether a peer has stated that it has all changes up to these revisions. */
	#isUpToDate({incarnation}: Peer, revisions: Readonly<Record<string, number>>): boolean {
		const stated = this.#statedRevisions.get(incarnation);
		return stated !== undefined && Object.entries(revisions).every(([kind, revision]) => (stated[kind] ?? 0) >= revision);
	}

	/** Forgets what peers have stated to which no link is open any more. */
	#removeUnknownPeers(): void {
		const known = new Set(this.#dependencies.bus.listNeighbours().map(({incarnation}) => incarnation));
		for (const incarnation of this.#statedRevisions.keys()) {
			if (!known.has(incarnation)) {
				this.#statedRevisions.delete(incarnation);
			}
		}
	}

	/** Schedules a request to the peer for each kind in which it is ahead, unless one is scheduled or in progress. */
	#compareRevisions(peer: Peer, revisions: Readonly<Record<string, number>>): void {
		this.#statedRevisions.set(peer.incarnation, revisions);
		for (const [kind, revision] of Object.entries(revisions)) {
			const mirror = this.#mirrorsByKind.get(kind);
			if (mirror && revision > mirror.revision && !this.#requestedKinds.has(kind)) {
				this.#requestedKinds.add(kind);
				this.#dependencies.clock.setTimer(ownWatchGraceMs, () => {
					void this.#requestChanges(mirror, peer, revision);
				});
			}
		}
	}

	/** Requests the changes from the peer, unless this instance's own watch has received them meanwhile. */
	async #requestChanges(mirror: KindMirror, peer: Peer, revision: number): Promise<void> {
		const {bus, telemetry} = this.#dependencies;
		const since = mirror.revision;
		if (since < revision) {
			const response = await bus.request(peer, {kind: 'changes', objects: mirror.kind, since});
			telemetry.count('mirror_fetches_total', {kind: mirror.kind, result: response.ok ? 'fetched' : response.error});
			if (response.ok) {
				const {isWhole, changed, deleted, revision: responseRevision} = response.value;
				if (isWhole) {
					mirror.replace(changed, responseRevision);
				} else {
					mirror.apply({changed, deleted, revision: responseRevision}, since);
				}
			}
		}

		this.#requestedKinds.delete(mirror.kind);
	}
}

/** Returns `undefined` for changes that do not fit into one message, such as those of another writer; the peer would close the link on them. */
function createChangesResponse(mirror: KindMirror, since: number) {
	const diff = mirror.computeDiff(since);
	const changed = [...diff?.changed ?? mirror.list()].map(({key, value, version, revision}) => ({
		key, value, version, revision,
	}));
	const deleted = [...diff?.deleted ?? []];
	const bytes = changed.reduce((sum, {key, value}) => sum + Buffer.byteLength(key) + Buffer.byteLength(value), Buffer.byteLength(deleted.join('')));
	return Math.max(changed.length, deleted.length) > maxChanges || bytes > maxChangesBytes
		? undefined
		: {
			kind: 'changes' as const, isWhole: diff === undefined, changed, deleted, revision: mirror.revision,
		};
}
