/**
 * The instances that are live, and the bus between them. Seeded by addresses
 * (from the settings and the platform's lagging list), it learns the rest from
 * its neighbours. An instance that a neighbour cannot reach is suspect; unless
 * it refutes that in time, it is gone. "Leaving" stays for an incarnation.
 */
import type {Duplex} from 'node:stream';
import {Duties} from './_duties.ts';
import {Links} from './links.ts';
import {MemberTable} from './member-table.ts';
import type {InstanceStatus, MembershipDeps, MembershipOptions} from './types.ts';
import {listWanted} from './_wanted.ts';
import {
	PeerLink, type Envelope, type LinkEnd, type MemberRecord, type Peer, type PeerBus,
} from '#peer-protocol';

const defaults: Required<MembershipOptions> = {
	seeds: [], suspectMs: 3000, reviewMs: 500, connectMs: 1500, minRedialMs: 200, maxRedialMs: 5000, goneMs: 900_000, limits: {},
};
const flushMs = 50;
const resyncMs = 5000;
const maxRecordsPerMessage = 512;
const suspectAgainMs = 30_000;

/** Keeps the table, the connections and the bus of one instance. */
export class Membership {
	/** The bus for the other parts. */
	readonly bus: PeerBus;
	readonly #deps: MembershipDeps;
	readonly #options: Required<MembershipOptions>;
	readonly #table: MemberTable;
	readonly #links: Links;
	readonly #dialling = new Map<string, AbortController>();
	readonly #running = new Set<Promise<unknown>>();
	readonly #suspectedMs = new Map<string, number>();
	readonly #duties: Duties;
	readonly #resyncedMs = new WeakMap<PeerLink, number>();
	readonly #news = new Map<string, Readonly<{record: MemberRecord; from?: Peer}>>();
	#seeds: ReadonlySet<string>;
	#isGone = false;

	constructor(deps: MembershipDeps) {
		this.#deps = deps;
		this.#options = {...defaults, ...deps.options};
		this.#seeds = new Set(this.#options.seeds);
		this.#table = new MemberTable(deps.self);
		this.#links = new Links(deps);
		this.#duties = new Duties(deps.self.incarnation, () => this.#listLive().filter(({leaving}) => !leaving).map(({peer}) => peer.incarnation));
		this.bus = this.#createBus();
		this.#links.subscribe('members', ({members}, from) => {
			for (const record of members) {
				this.#apply(record, from);
			}
		});
	}

	/** Runs until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#deps;
		const cancelFlush = clock.subscribe(flushMs, () => {
			this.#flush();
		});
		while (!signal.aborted) {
			this.#review();
			await clock.sleep(this.#options.reviewMs, signal);
		}

		this.#flush();
		cancelFlush();
		for (const controller of this.#dialling.values()) {
			controller.abort();
		}

		await Promise.all(this.#links.list().map(async link => link.finish('stopped')));
		await Promise.all(this.#running);
	}

	/** Takes in a connection that a peer opened. */
	accept(stream: Duplex): void {
		this.#track(this.#runLink(new PeerLink(stream, this.#makeLinkDeps('acceptor'))));
	}

	/** Replaces the addresses that the platform's list names; those of the settings stay. */
	setSeeds(addresses: readonly string[]): void {
		this.#seeds = new Set([...this.#options.seeds, ...addresses]);
	}

	/** Tells all instances that this one is about to stop. */
	markLeaving(): void {
		this.#apply({...this.#table.own, leaving: true});
	}

	/** Tells all instances that this one stops now. */
	markGone(): void {
		const {own} = this.#table;
		this.#isGone = true;
		this.#links.sendToAll({kind: 'members', members: [{...own, state: 'gone', leaving: true}]}, false);
	}

	/** All instances that are not gone, this one first. */
	listInstances(): readonly InstanceStatus[] {
		const {self, readStatus} = this.#deps;
		const others = this.#listLive().map(record => {
			const status = this.#links.get(record.peer.incarnation)?.status;
			return {
				...record.peer, state: record.state, leaving: record.leaving, ...(status ? {status: {generation: status.generation, ready: status.ready, running: status.running}} : {}),
			};
		});
		return [{
			...self, state: 'live', leaving: this.#table.own.leaving, status: readStatus(),
		}, ...others];
	}

	/**
	 * Whether this instance is among the `count` that do a shared duty, by
	 * rendezvous hash; all instances that agree on who is live agree on it.
	 */
	isAmongFirst(duty: string, count: number): boolean {
		return this.readRank(duty) < count;
	}

	/** Place of this instance by the same hash; 0 is the first. Leaving instances come last. */
	readRank(duty: string): number {
		return this.#duties.readRank(duty);
	}

	/** Incarnations of the `count` instances that come first for a duty, by the same hash; this one may be among them. */
	listFirst(duty: string, count: number): readonly string[] {
		return this.#duties.listFirst(duty, count);
	}

	#createBus(): PeerBus {
		const links = this.#links;
		return {
			listPeers: () => this.#listLive().map(({peer}) => peer),
			listNeighbours: () => links.list().map(link => link.peer!),
			relay(message) {
				links.relay(message);
			},
			spread: message => {
				if (this.#listLive().every(({peer}) => links.get(peer.incarnation) !== undefined)) {
					links.sendToAll(message, false);
				} else {
					links.relay(message);
				}
			},
			sample(message) {
				links.sendToAll(message, true);
			},
			subscribe: (kind, handler) => links.subscribe(kind, handler),
			request: async (to, request) => links.request(to, request) as never, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a link accepts only responses of the request's kind
			answer(kind, answerer) {
				links.answer(kind, answerer);
			},
		};
	}

	#listLive(): readonly MemberRecord[] {
		return this.#table.list().filter(({peer, state}) => state !== 'gone' && peer.incarnation !== this.#deps.self.incarnation);
	}

	/** Takes in a record and, if it is news, passes it on with the next flush. */
	#apply(record: MemberRecord, from?: Peer): void {
		const {clock, telemetry, self} = this.#deps;
		const changed = this.#isGone ? undefined : this.#table.apply(record, clock.now());
		if (!changed) {
			return;
		}

		const {peer, state, version} = changed;
		this.#duties.forget();
		this.#news.set(peer.incarnation, {record: changed, from});
		if (state === 'suspect' && peer.incarnation !== self.incarnation) {
			clock.after(this.#options.suspectMs, () => {
				const known = this.#table.get(peer.incarnation);
				if (known?.state === 'suspect' && known.version === version) {
					this.#apply({...known, state: 'gone'});
				}
			});
		}

		telemetry.set('peers_live', this.#listLive().length);
		telemetry.log('instance changed', {
			peer: peer.name, incarnation: peer.incarnation, state, leaving: changed.leaving,
		});
	}

	#flush(): void {
		if (this.#news.size === 0) {
			return;
		}

		const news = [...this.#news.values()];
		this.#news.clear();
		for (const link of this.#links.list()) {
			this.#sendRecords(link, news.filter(({from}) => from?.incarnation !== link.peer!.incarnation).map(({record}) => record));
		}
	}

	#sendRecords(link: PeerLink, records: readonly MemberRecord[]): void {
		for (let index = 0; index < records.length; index += maxRecordsPerMessage) {
			link.send({type: 'message', message: {kind: 'members', members: records.slice(index, index + maxRecordsPerMessage)}}, false);
		}
	}

	/** Starts and ends the tasks that keep connections. */
	#review(): void {
		this.#table.prune(this.#deps.clock.now() - this.#options.goneMs);
		const wanted = new Set(listWanted({
			self: this.#deps.self, records: this.#table.list(), seeds: this.#seeds, nowMs: this.#deps.clock.now(),
		}));
		for (const [address, controller] of this.#dialling) {
			if (!wanted.has(address)) {
				controller.abort();
				this.#dialling.delete(address);
			}
		}

		for (const link of this.#links.list()) {
			if (link.role === 'opener' && !wanted.has(link.peer!.address)) {
				link.close('surplus');
			}
		}

		for (const address of wanted) {
			if (!this.#dialling.has(address)) {
				const controller = new AbortController();
				this.#dialling.set(address, controller);
				this.#track(this.#keepPeer(address, controller.signal));
			}
		}
	}

	/** Keeps a connection to one address until it is no longer wanted. The task of one peer. */
	async #keepPeer(address: string, signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#deps;
		const {minRedialMs, maxRedialMs} = this.#options;
		let failures = 0;
		while (!signal.aborted) {
			if (this.#links.hasAddress(address)) {
				failures = 0;
				await clock.sleep(minRedialMs, signal);
				continue;
			}

			const end = await this.#dial(address, signal);
			if (signal.aborted) {
				return;
			}

			if (end === 'unreachable') {
				failures++;
				this.#deps.telemetry.count('peer_connect_failures_total');
				this.#suspect(address);
			}

			const delayMs = Math.min(maxRedialMs, minRedialMs * (2 ** Math.min(failures, 10)));
			await clock.sleep(delayMs * (0.5 + (random.next() / 2)), signal);
		}
	}

	async #dial(address: string, signal: AbortSignal): Promise<LinkEnd | 'unreachable'> {
		const {clock, transport} = this.#deps;
		const limit = new AbortController();
		const cancel = clock.after(this.#options.connectMs, () => {
			limit.abort();
		});
		const stream = await transport.connect(address, AbortSignal.any([signal, limit.signal]));
		cancel();
		if (!stream.ok) {
			return 'unreachable';
		}

		const link = new PeerLink(stream.value, this.#makeLinkDeps('opener'));
		const end = await this.#runLink(link);
		return link.peer === undefined ? 'unreachable' : end;
	}

	async #runLink(link: PeerLink): Promise<LinkEnd> {
		const end = await link.run();
		this.#links.remove(link);
		return end;
	}

	#makeLinkDeps(role: 'opener' | 'acceptor') {
		const {clock, telemetry, self, secret, readStatus} = this.#deps;
		return {
			role, clock, telemetry, self, secret, limits: this.#options.limits,
			readStatus: () => ({...readStatus(), membersDigest: this.#table.digest}),
			opened: (link: PeerLink) => {
				this.#open(link);
			},
			received: (link: PeerLink, envelope: Envelope) => {
				this.#links.receive(link, envelope);
				if (envelope.type === 'heartbeat') {
					this.#resync(link, envelope.status.membersDigest);
					this.#deps.heard?.(link.peer!, envelope.status);
				}
			},
		};
	}

	#open(link: PeerLink): void {
		const peer = link.peer!;
		if (peer.incarnation === this.#deps.self.incarnation) {
			link.close('duplicate');
			return;
		}

		this.#links.add(link);
		for (const {peer: other, ...record} of this.#table.list()) {
			if (other.address === peer.address && other.incarnation !== peer.incarnation && record.state !== 'gone' && other.incarnation !== this.#deps.self.incarnation) {
				this.#apply({...record, peer: other, state: 'gone'});
			}
		}

		this.#apply(this.#table.get(peer.incarnation) ?? {
			peer, version: 0, state: 'live', leaving: false,
		});
	}

	/** Sends the whole table to a neighbour whose own differs, not often. */
	#resync(link: PeerLink, digest: string): void {
		const nowMs = this.#deps.clock.now();
		if (digest === this.#table.digest || nowMs - (this.#resyncedMs.get(link) ?? -Infinity) < resyncMs) {
			return;
		}

		this.#resyncedMs.set(link, nowMs);
		this.#sendRecords(link, this.#table.list());
	}

	/** Reports the instance at an address as not answering. */
	#suspect(address: string): void {
		const {clock, telemetry} = this.#deps;
		for (const record of this.#listLive()) {
			const {incarnation} = record.peer;
			const isRecent = clock.now() - (this.#suspectedMs.get(incarnation) ?? -Infinity) < suspectAgainMs;
			if (record.peer.address === address && record.state === 'live' && !isRecent) {
				this.#suspectedMs.set(incarnation, clock.now());
				telemetry.count('members_suspected_total');
				this.#apply({...record, state: 'suspect'});
			}
		}
	}

	#track(task: Promise<unknown>): void {
		this.#running.add(task);
		void task.finally(() => {
			this.#running.delete(task);
		});
	}
}
