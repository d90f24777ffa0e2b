/**
 * Tracks which instances are live and provides the bus between them. It starts
 * from seed addresses (from the settings and the platform's list, which lags)
 * and learns of the other instances from its neighbours. An instance that a
 * neighbour cannot reach is suspect, and it is gone unless it refutes that in
 * time. A record that says that an instance is leaving says so for the rest of
 * that incarnation.
 */
import type {Duplex} from 'node:stream';
import {DutyRanking} from './_duty-ranking.ts';
import {Links} from './links.ts';
import {MemberTable} from './member-table.ts';
import type {InstanceStatus, MembershipDependencies, MembershipOptions} from './types.ts';
import {listDesiredAddresses} from './_desired-addresses.ts';
import {waitForEvent, waitForTick} from '#clock';
import {
	PeerLink, type Envelope, type LinkEndReason, type MemberRecord, type Peer, type PeerBus, type PeerStatus,
} from '#peer-protocol';
import {recordEscapedError} from '#telemetry';

const defaults: Required<MembershipOptions> = {
	seeds: [], suspicionTimeoutMs: 3000, connectionUpdateIntervalMs: 500, connectTimeoutMs: 1500, minRedialDelayMs: 200, maxRedialDelayMs: 5000, goneRetentionMs: 900_000, limits: {},
};

/** Time after which a changed record is sent to the neighbours, in milliseconds, with all that changed meanwhile. */
const flushDelayMs = 50;

/** Minimum time between two transfers of the whole table to one neighbour, in milliseconds. */
const minResyncIntervalMs = 5000;
const maxRecordsPerMessage = 512;

/** Minimum time between two suspicions of one instance, in milliseconds. */
const minSuspicionIntervalMs = 30_000;

/** The member table, the connections and the bus of one instance. */
export class Membership {
	/** Bus over which the other components of the instance reach the peers. */
	readonly bus: PeerBus;
	readonly #dependencies: MembershipDependencies;
	readonly #options: Required<MembershipOptions>;
	readonly #table: MemberTable;
	readonly #links: Links;
	readonly #connectionControllers = new Map<string, AbortController>();
	readonly #tasks = new Set<Promise<unknown>>();
	readonly #lastSuspectedMs = new Map<string, number>();
	readonly #dutyRanking: DutyRanking;
	readonly #lastResyncMs = new WeakMap<PeerLink, number>();
	readonly #pendingRecords = new Map<string, Readonly<{record: MemberRecord; from?: Peer}>>();
	#turnStatus: PeerStatus | undefined;
	#seeds: ReadonlySet<string>;
	#hasAnnouncedStop = false;

	constructor(dependencies: MembershipDependencies) {
		this.#dependencies = dependencies;
		this.#options = {...defaults, ...dependencies.options};
		this.#seeds = new Set(this.#options.seeds);
		this.#table = new MemberTable(dependencies.self);
		this.#links = new Links(dependencies);
		this.#dutyRanking = new DutyRanking(dependencies.self.incarnation, () => this.#listOthers().filter(({leaving}) => !leaving).map(({peer}) => peer.incarnation));
		this.bus = this.#createBus();
		this.#links.subscribe('members', ({members}, from) => {
			for (const record of members) {
				this.#apply(record, from);
			}
		});
	}

	/** Runs until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#dependencies;
		while (!signal.aborted) {
			this.#updateConnections();
			await waitForTick(clock, this.#options.connectionUpdateIntervalMs, signal);
		}

		this.#flush();
		for (const controller of this.#connectionControllers.values()) {
			controller.abort();
		}

		await Promise.all(this.#links.list().map(async link => link.finish('stopped')));
		await Promise.all(this.#tasks);
	}

	/** Accepts a connection that a peer opened. */
	accept(stream: Duplex): void {
		this.#trackTask(this.#runLink(new PeerLink(stream, this.#createLinkDependencies('acceptor'))));
	}

	/** Replaces the seed addresses from the platform's list; those from the settings stay. */
	setSeeds(addresses: readonly string[]): void {
		this.#seeds = new Set([...this.#options.seeds, ...addresses]);
	}

	/** Notifies all instances that this one is about to stop. */
	announceLeaving(): void {
		this.#apply({...this.#table.ownRecord, leaving: true});
	}

	/** Notifies the neighbours that this instance stops now. Ignores member records from then on, so that it does not refute the report that it is gone. */
	announceStop(): void {
		const {ownRecord} = this.#table;
		this.#hasAnnouncedStop = true;
		this.#links.sendToNeighbours({kind: 'members', members: [{...ownRecord, state: 'gone', leaving: true}]}, false);
	}

	/** Lists all instances that are not gone, this one first. */
	listInstances(): readonly InstanceStatus[] {
		const {self, getStatus} = this.#dependencies;
		const others = this.#listOthers().map(record => {
			const status = this.#links.get(record.peer.incarnation)?.status;
			return {
				...record.peer, state: record.state, leaving: record.leaving, ...(status ? {status: {generation: status.generation, ready: status.ready, running: status.running}} : {}),
			};
		});
		return [{
			...self, state: 'live', leaving: this.#table.ownRecord.leaving, status: getStatus(),
		}, ...others];
	}

	/**
	 * Returns whether this instance is among the `count` that rank first for a
	 * shared duty by rendezvous hash. Instances that agree on which ones are live
	 * get the same ranking.
	 */
	isAmongFirst(duty: string, count: number): boolean {
		return this.getRank(duty) < count;
	}

	/** Returns the rank of this instance for a duty by rendezvous hash; 0 is the first. Other instances that are leaving are not counted. */
	getRank(duty: string): number {
		return this.#dutyRanking.getRank(duty);
	}

	/** Returns the incarnations of the `count` instances that rank first for a duty by rendezvous hash; this one may be among them. */
	listFirst(duty: string, count: number): readonly string[] {
		return this.#dutyRanking.listFirst(duty, count);
	}

	#createBus(): PeerBus {
		const links = this.#links;
		return {
			listPeers: () => this.#listOthers().map(({peer}) => peer),
			listNeighbours: () => links.list().map(link => link.peer!),
			broadcastViaPeers(message) {
				links.relay(message);
			},
			broadcast: message => {
				if (this.#listOthers().every(({peer}) => links.get(peer.incarnation) !== undefined)) {
					links.sendToNeighbours(message, false);
				} else {
					links.relay(message);
				}
			},
			sendToSample(message, isReceiver) {
				links.sendToNeighbours(message, true, isReceiver);
			},
			subscribe: (kind, handler) => links.subscribe(kind, handler),
			request: async (to, request) => links.request(to, request) as never, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a link accepts only responses of the request's kind
			setRequestHandler(kind, handler) {
				links.setRequestHandler(kind, handler);
			},
			listChannelPeers: () => links.listPeersWith('channels'),
			listArchivingPeers: () => links.listPeersWith('origin_archive'),
			openChannel: (to, receiver) => links.openChannel(to, receiver),
			setChannelHandler(handler) {
				links.setChannelHandler(handler);
			},
		};
	}

	/** Lists the records of the other instances that are not gone. */
	#listOthers(): readonly MemberRecord[] {
		return this.#table.list().filter(({peer, state}) => state !== 'gone' && peer.incarnation !== this.#dependencies.self.incarnation);
	}

	/** Merges a record into the table. If that changes the table, queues the record for the next flush. An instance that becomes suspect is gone after the suspicion timeout, unless its record has changed by then. */
	#apply(record: MemberRecord, from?: Peer): void {
		const {clock, telemetry, self} = this.#dependencies;
		const changed = this.#hasAnnouncedStop ? undefined : this.#table.apply(record, clock.now());
		if (!changed) {
			return;
		}

		const {peer, state, version} = changed;
		this.#dutyRanking.clear();
		if (this.#pendingRecords.size === 0) {
			clock.setTimer(flushDelayMs, () => {
				this.#flush();
			});
		}

		this.#pendingRecords.set(peer.incarnation, {record: changed, from});
		if (state === 'suspect' && peer.incarnation !== self.incarnation) {
			clock.setTimer(this.#options.suspicionTimeoutMs, () => {
				const known = this.#table.get(peer.incarnation);
				if (known?.state === 'suspect' && known.version === version) {
					this.#apply({...known, state: 'gone'});
				}
			});
		}

		telemetry.set('peers_live', this.#listOthers().length);
		telemetry.log('state of an instance changed', {
			peer: peer.name, incarnation: peer.incarnation, state, leaving: changed.leaving,
		});
	}

	/** Sends the queued records to the neighbours, except to the one that a record came from. */
	#flush(): void {
		if (this.#pendingRecords.size === 0) {
			return;
		}

		const pending = [...this.#pendingRecords.values()];
		this.#pendingRecords.clear();
		for (const link of this.#links.list()) {
			this.#sendRecords(link, pending.filter(({from}) => from?.incarnation !== link.peer!.incarnation).map(({record}) => record));
		}
	}

	#sendRecords(link: PeerLink, records: readonly MemberRecord[]): void {
		for (let index = 0; index < records.length; index += maxRecordsPerMessage) {
			link.send({type: 'message', message: {kind: 'members', members: records.slice(index, index + maxRecordsPerMessage)}}, false);
		}
	}

	/** Starts and stops connection tasks so that they match the desired addresses. */
	#updateConnections(): void {
		this.#table.expireGone(this.#dependencies.clock.now() - this.#options.goneRetentionMs);
		const desiredAddresses = new Set(listDesiredAddresses({
			self: this.#dependencies.self, records: this.#table.list(), seeds: this.#seeds, nowMs: this.#dependencies.clock.now(),
		}));
		for (const [address, controller] of this.#connectionControllers) {
			if (!desiredAddresses.has(address)) {
				controller.abort();
				this.#connectionControllers.delete(address);
			}
		}

		for (const link of this.#links.list()) {
			if (link.role === 'opener' && !desiredAddresses.has(link.peer!.address) && !this.#links.hasOpenChannels(link)) {
				link.close('surplus');
			}
		}

		for (const address of desiredAddresses) {
			if (!this.#connectionControllers.has(address)) {
				const controller = new AbortController();
				this.#connectionControllers.set(address, controller);
				this.#trackTask(this.#maintainConnection(address, controller.signal));
			}
		}
	}

	/** Keeps a connection to one address open until it is no longer desired. One task for each address. */
	async #maintainConnection(address: string, signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#dependencies;
		const {minRedialDelayMs, maxRedialDelayMs} = this.#options;
		let failures = 0;
		while (!signal.aborted) {
			if (this.#links.hasLinkTo(address)) {
				failures = 0;
				await waitForEvent(handler => this.#links.subscribeRemovals(handler), signal);
				// The instances that have lost a link to this address at the same time do not open the next one together.
				await clock.sleep(minRedialDelayMs * random.next(), signal);
				continue;
			}

			const end = await this.#dial(address, signal);
			if (signal.aborted) {
				return;
			}

			if (end === 'unreachable') {
				failures++;
				this.#dependencies.telemetry.count('peer_connect_failures_total');
				this.#suspect(address);
			}

			const delayMs = Math.min(maxRedialDelayMs, minRedialDelayMs * (2 ** Math.min(failures, 10)));
			await clock.sleep(delayMs * (0.5 + (random.next() / 2)), signal);
		}
	}

	/** Connects to an address and runs the link until it ends. `unreachable` means that no peer was authenticated there. */
	async #dial(address: string, signal: AbortSignal): Promise<LinkEndReason | 'unreachable'> {
		const {clock, transport} = this.#dependencies;
		const timeout = new AbortController();
		const cancel = clock.setTimer(this.#options.connectTimeoutMs, () => {
			timeout.abort();
		});
		const stream = await transport.connect(address, AbortSignal.any([signal, timeout.signal]));
		cancel();
		if (!stream.ok) {
			return 'unreachable';
		}

		const link = new PeerLink(stream.value, this.#createLinkDependencies('opener'));
		const end = await this.#runLink(link);
		return link.peer === undefined ? 'unreachable' : end;
	}

	async #runLink(link: PeerLink): Promise<LinkEndReason> {
		const end = await link.run();
		this.#links.remove(link);
		return end;
	}

	/** Returns the status of this instance, the same for all heartbeats of one turn of the event loop. */
	#getStatus(): PeerStatus {
		if (this.#turnStatus?.membersDigest !== this.#table.digest) {
			this.#turnStatus = {...this.#dependencies.getStatus(), membersDigest: this.#table.digest};
			setImmediate(() => {
				this.#turnStatus = undefined;
			});
		}

		return this.#turnStatus;
	}

	#createLinkDependencies(role: 'opener' | 'acceptor') {
		const {clock, telemetry, self, secret} = this.#dependencies;
		return {
			role, clock, telemetry, self, secret, limits: this.#options.limits,
			getStatus: () => this.#getStatus(),
			handleOpen: (link: PeerLink) => {
				this.#handleOpenedLink(link);
			},
			handleEnvelope: (link: PeerLink, envelope: Envelope) => {
				try {
					this.#handleEnvelope(link, envelope);
				} catch (error) {
					recordEscapedError(telemetry, 'message', error, {type: envelope.type, peer: link.peer?.name});
				}
			},
		};
	}

	#handleEnvelope(link: PeerLink, envelope: Envelope): void {
		this.#links.handleEnvelope(link, envelope);
		if (envelope.type === 'heartbeat') {
			this.#resync(link, envelope.status.membersDigest);
			this.#dependencies.handleHeartbeat?.(link.peer!, envelope.status);
		}
	}

	#handleOpenedLink(link: PeerLink): void {
		const peer = link.peer!;
		if (peer.incarnation === this.#dependencies.self.incarnation) {
			link.close('duplicate');
			return;
		}

		this.#links.add(link);
		// An address belongs to one process at a time, so earlier incarnations there have ended.
		for (const {peer: other, ...record} of this.#table.list()) {
			if (other.address === peer.address && other.incarnation !== peer.incarnation && record.state !== 'gone' && other.incarnation !== this.#dependencies.self.incarnation) {
				this.#apply({...record, peer: other, state: 'gone'});
			}
		}

		this.#apply(this.#table.get(peer.incarnation) ?? {
			peer, version: 0, state: 'live', leaving: false,
		});
	}

	/** Sends the whole table to a neighbour whose digest differs, at most once in {@link minResyncIntervalMs}. */
	#resync(link: PeerLink, digest: string): void {
		const nowMs = this.#dependencies.clock.now();
		if (digest === this.#table.digest || nowMs - (this.#lastResyncMs.get(link) ?? -Infinity) < minResyncIntervalMs) {
			return;
		}

		this.#lastResyncMs.set(link, nowMs);
		this.#sendRecords(link, this.#table.list());
	}

	/** Marks the live instance at an unreachable address as suspect, at most once in {@link minSuspicionIntervalMs}. */
	#suspect(address: string): void {
		const {clock, telemetry} = this.#dependencies;
		for (const record of this.#listOthers()) {
			const {incarnation} = record.peer;
			const isRecent = clock.now() - (this.#lastSuspectedMs.get(incarnation) ?? -Infinity) < minSuspicionIntervalMs;
			if (record.peer.address === address && record.state === 'live' && !isRecent) {
				this.#lastSuspectedMs.set(incarnation, clock.now());
				telemetry.count('members_suspected_total');
				this.#apply({...record, state: 'suspect'});
			}
		}
	}

	#trackTask(task: Promise<unknown>): void {
		this.#tasks.add(task);
		void task.finally(() => {
			this.#tasks.delete(task);
		});
	}
}
