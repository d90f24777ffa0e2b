/**
 * Exchanges the origins of streams with the peers. Only while targets of several
 * software versions serve, and for the retention time of origins after that, or
 * while the object store cannot say how many there are, an instance announces the
 * streams that began at it, so that the origins outlive the instance, and hands them
 * to its archivists, which keep them in the store ({@link OriginArchive}). An
 * instance that does not know an origin asks its peers for it. Its
 * neighbours answer in any case, also with the software versions that they know of,
 * as the one that asks may be out of step; others answer all instances if they know
 * the origin, unless another peer was faster.
 */
import type {OriginArchive} from './origin-archive.ts';
import {originRetentionMs, type StreamOrigin, type StreamOrigins} from './stream-origins.ts';
import type {VersionsByPool} from './version-record.ts';
import {maxRefreshWaitMs} from './version-refresh.ts';
import {
	waitForEvent, waitForTick, type Cancel, type Clock,
} from '#clock';
import type {Random} from '#core';
import {maxFullMeshPeers} from '#membership';
import type {Peer, PeerBus, PeerMessageOf} from '#peer-protocol';

export type OriginExchangeDependencies = Readonly<{
	origins: StreamOrigins;
	bus: PeerBus;
	clock: Clock;
	random: Random;
	/** Whether targets of a pool had several software versions in the last `withinMs` milliseconds. */
	hasSeveralVersions: (withinMs: number) => boolean;
	/** Whether the object store has answered the last call of this instance, as far as known. */
	isStoreAnswering: () => boolean;
	archive: Pick<OriginArchive, 'listArchivists' | 'listOwn'>;
	/** Lists the software versions that targets of a pool had in the retention time of origins. */
	listVersions: (pool: string) => readonly string[];
	/** Reads the versions from the object store; see {@link VersionRefresh.refresh}. */
	refresh: () => Promise<VersionsByPool | undefined>;
}>;

/** What an instance asks its peers. */
export type OriginQuestion = Readonly<{
	/** Key of the stream. */
	key: string;
	/** Pools where the stream may go on. */
	pools: readonly string[];
	/** Whether the peers are to read the versions from the object store, as this instance has got no answer from it. */
	shouldRefresh: boolean;
	/** Whether all peers are asked, also through others, rather than the neighbours whose programs are known to understand the question. Others would close the link. */
	isForAll: boolean;
}>;

/** What the peers have answered. */
export type OriginAnswer = Readonly<{
	/** Absent if no peer knows it. */
	origin?: StreamOrigin | undefined;
	/** Software versions that neighbours know of, by pool. */
	versions: VersionsByPool;
	/** Whether a neighbour has read the versions from the object store since the question. */
	isRefreshed: boolean;
}>;

type Answer = NonNullable<PeerMessageOf<'origins'>['answer']>;
type Question = NonNullable<PeerMessageOf<'origin_wanted'>['question']>;

/** The answers to a question, as they arrive. */
type PendingQuestion = {
	/** Incarnations of the neighbours that have not answered. */
	readonly missing: Set<string>;
	readonly versions: Map<string, readonly string[]>;
	isRefreshed: boolean;
	readonly finish: () => void;
};

/** Interval between announcements while each reaches all peers, in milliseconds; streams that began since the last one are forgotten if the instance is killed. */
const meshIntervalMs = 50;

/** Interval between announcements while each reaches only some peers, in milliseconds: this bounds the traffic per instance. */
const partialIntervalMs = 250;

/** Maximum number of origins in one message. */
const maxOriginsPerMessage = 128;

/** Time to wait for an answer, in milliseconds: some hops between instances, and the longest delay of an answer. */
const answerTimeoutMs = 300;

/** Maximum number of software versions of a pool in an answer. */
const maxVersionsPerPool = 64;

/** Time to wait for an answer by a peer that reads the versions first, in milliseconds. */
const refreshedAnswerTimeoutMs = maxRefreshWaitMs + 150;

/** Maximum delay of an answer, in milliseconds; it is random, so that mostly one of several peers answers. */
const maxAnswerDelayMs = 60;

export class OriginExchange {
	readonly #dependencies: OriginExchangeDependencies;
	readonly #cancels: readonly Cancel[];
	readonly #pending = new Map<number, PendingQuestion>();
	#questionCount = 0;
	/** Instances that have been handed the origins of this instance's streams, if several versions serve. */
	#archivists: readonly string[] = [];

	constructor(dependencies: OriginExchangeDependencies) {
		const {bus, origins} = dependencies;
		this.#dependencies = dependencies;
		this.#cancels = [
			bus.subscribe('origins', ({origins: announced, answer}, from) => {
				for (const {key, pool, softwareVersion} of announced) {
					origins.record({key, origin: {pool, softwareVersion}});
				}

				if (answer) {
					this.#recordAnswer(answer, from);
				}
			}),
			bus.subscribe('origin_wanted', ({key, question}, from) => {
				if (question && bus.listNeighbours().some(({incarnation}) => incarnation === from.incarnation)) {
					void this.#answer(key, question, from);
				} else {
					this.#scheduleAnswer(key);
				}
			}),
		];
	}

	/** Announces this instance's streams until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {origins, bus, clock} = this.#dependencies;
		while (!signal.aborted) {
			this.#announce();
			await waitForEvent(handler => origins.subscribeUnannounced(handler), signal);
			await waitForTick(clock, bus.listPeers().length <= maxFullMeshPeers ? meshIntervalMs : partialIntervalMs, signal);
		}

		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	/** Asks the peers for the origin of a stream, and for the versions that they know of; returns what they have answered when the origin is known, all that were asked have answered, or the time to wait has passed. */
	async request({key, pools, shouldRefresh, isForAll}: OriginQuestion): Promise<OriginAnswer> {
		const {origins, bus, clock} = this.#dependencies;
		const answering = new Set(bus.listChannelPeers().map(({incarnation}) => incarnation));
		const number = this.#questionCount++;
		const versions = new Map<string, readonly string[]>();
		if (isForAll ? bus.listPeers().length === 0 : answering.size === 0) {
			return {versions, isRefreshed: false};
		}

		return new Promise(resolve => {
			const finish = (origin?: StreamOrigin) => {
				cancelWait();
				cancelTimer();
				this.#pending.delete(number);
				resolve({origin, versions, isRefreshed: pending.isRefreshed});
			};

			const pending: PendingQuestion = {
				missing: new Set(isForAll ? bus.listPeers().map(({incarnation}) => incarnation) : answering), versions, isRefreshed: false, finish,
			};
			this.#pending.set(number, pending);
			const cancelWait = origins.subscribe(key, finish);
			const cancelTimer = clock.setTimer(shouldRefresh ? refreshedAnswerTimeoutMs : answerTimeoutMs, () => {
				finish();
			});
			const message = {kind: 'origin_wanted' as const, key, question: {number, pools: [...pools], shouldRefresh}};
			if (isForAll) {
				bus.broadcast(message);
			} else {
				bus.sendToSample(message, ({incarnation}) => answering.has(incarnation));
			}
		});
	}

	/** Announces the streams that began since the last announcement if their origins matter; during an outage of the store only to peers that are known to understand it. */
	#announce(): void {
		const {origins, bus, hasSeveralVersions, isStoreAnswering} = this.#dependencies;
		const isForAll = hasSeveralVersions(originRetentionMs);
		this.#updateArchivists(isForAll);
		const records = isForAll || !isStoreAnswering() ? origins.takeUnannounced(maxOriginsPerMessage) : [];
		if (records.length === 0) {
			return;
		}

		const announced = records.map(({key, origin}) => ({key, ...origin}));
		const understanding = new Set(bus.listChannelPeers().map(({incarnation}) => incarnation));
		const archivists = new Set(this.#archivists);
		bus.sendToSample({kind: 'origins', origins: announced}, ({incarnation}) => !archivists.has(incarnation) && (isForAll || understanding.has(incarnation)));
		if (archivists.size > 0) {
			bus.sendToSample({kind: 'origins', origins: announced, shouldArchive: true}, ({incarnation}) => archivists.has(incarnation));
		}
	}

	/** Announces the streams of the retention time again if others archive them from now on. */
	#updateArchivists(isArchiving: boolean): void {
		const {origins, archive} = this.#dependencies;
		const archivists = isArchiving ? archive.listArchivists() : [];
		const hasNew = archivists.some(incarnation => !this.#archivists.includes(incarnation));
		if (hasNew && this.#archivists.length > 0) {
			origins.markUnannounced(archive.listOwn());
		}

		this.#archivists = archivists;
	}

	#recordAnswer({number, versions, isRefreshed}: Answer, {incarnation}: Peer): void {
		const pending = this.#pending.get(number);
		if (!pending?.missing.delete(incarnation)) {
			return;
		}

		pending.isRefreshed ||= isRefreshed;
		for (const {pool, softwareVersions} of versions) {
			pending.versions.set(pool, [...new Set([...pending.versions.get(pool) ?? [], ...softwareVersions])]);
		}

		if (pending.missing.size === 0) {
			pending.finish();
		}
	}

	/** Answers a neighbour, whether the origin is known or not. */
	async #answer(key: string, {number, pools, shouldRefresh}: Question, to: Peer): Promise<void> {
		const {origins, bus, listVersions, refresh} = this.#dependencies;
		const recorded = shouldRefresh && !origins.get(key) ? await refresh() : undefined;
		const origin = origins.get(key);
		bus.sendToSample({
			kind: 'origins', origins: origin ? [{key, ...origin}] : [],
			answer: {
				number, isRefreshed: recorded !== undefined,
				versions: pools.map(pool => ({pool, softwareVersions: [...new Set([...listVersions(pool), ...recorded?.get(pool) ?? []])].slice(0, maxVersionsPerPool)})),
			},
		}, ({incarnation}) => incarnation === to.incarnation);
	}

	/** Answers after a random delay, unless a peer answers before that. */
	#scheduleAnswer(key: string): void {
		const {origins, bus, clock, random} = this.#dependencies;
		const origin = origins.get(key);
		if (!origin) {
			return;
		}

		const cancelTimer = clock.setTimer(random.next() * maxAnswerDelayMs, () => {
			cancelWait();
			bus.broadcast({kind: 'origins', origins: [{key, ...origin}]});
		});
		const cancelWait = origins.subscribe(key, () => {
			cancelWait();
			cancelTimer();
		});
	}
}
