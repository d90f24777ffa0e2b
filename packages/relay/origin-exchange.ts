/**
 * Exchanges the origins of streams with the peers. Only while targets of several
 * software versions serve, and for the retention time of origins after that, an
 * instance announces the streams that began at it, so that the origins outlive the
 * instance. An instance that does not know an origin asks all peers for it; one that
 * knows it answers all of them, unless another peer was faster.
 */
import {originRetentionMs, type StreamOrigin, type StreamOrigins} from './stream-origins.ts';
import type {Cancel, Clock} from '#clock';
import type {Random} from '#core';
import {maxFullMeshPeers} from '#membership';
import type {PeerBus} from '#peer-protocol';

export type OriginExchangeDependencies = Readonly<{
	origins: StreamOrigins;
	bus: PeerBus;
	clock: Clock;
	random: Random;
	/** Whether targets of a pool had several software versions in the last `withinMs` milliseconds. */
	hasSeveralVersions: (withinMs: number) => boolean;
}>;

/** Interval between announcements while each reaches all peers, in milliseconds; streams that began since the last one are forgotten if the instance is killed. */
const meshIntervalMs = 50;

/** Interval between announcements while each reaches only some peers, in milliseconds: this bounds the traffic per instance. */
const partialIntervalMs = 250;

/** Maximum number of origins in one message. */
const maxOriginsPerMessage = 128;

/** Time to wait for an answer, in milliseconds: some hops between instances, and the longest delay of an answer. */
const answerTimeoutMs = 300;

/** Maximum delay of an answer, in milliseconds; it is random, so that mostly one of several peers answers. */
const maxAnswerDelayMs = 60;

export class OriginExchange {
	readonly #dependencies: OriginExchangeDependencies;
	readonly #cancels: readonly Cancel[];

	constructor(dependencies: OriginExchangeDependencies) {
		const {bus, origins} = dependencies;
		this.#dependencies = dependencies;
		this.#cancels = [
			bus.subscribe('origins', message => {
				for (const {key, pool, softwareVersion} of message.origins) {
					origins.record({key, origin: {pool, softwareVersion}});
				}
			}),
			bus.subscribe('origin_wanted', ({key}) => {
				this.#scheduleAnswer(key);
			}),
		];
	}

	/** Announces this instance's streams until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {origins, bus, clock, hasSeveralVersions} = this.#dependencies;
		while (!signal.aborted) {
			const records = hasSeveralVersions(originRetentionMs) ? origins.takeUnannounced(maxOriginsPerMessage) : [];
			if (records.length > 0) {
				bus.sendToSample({kind: 'origins', origins: records.map(({key, origin}) => ({key, ...origin}))});
			}

			await clock.sleep(bus.listPeers().length <= maxFullMeshPeers ? meshIntervalMs : partialIntervalMs, signal);
		}

		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	/** Whether the programs of all peers are known to understand the messages of this exchange; others would close the link. It is not known while messages reach some peers only through others. */
	isUnderstood(): boolean {
		const {bus} = this.#dependencies;
		return bus.listPeers().length <= maxFullMeshPeers && bus.listChannelPeers().length === bus.listNeighbours().length;
	}

	/** Asks the peers for the origin of a stream; returns `undefined` if none answers in time. */
	async request(key: string): Promise<StreamOrigin | undefined> {
		const {origins, bus, clock} = this.#dependencies;
		if (bus.listPeers().length === 0) {
			return undefined;
		}

		return new Promise(resolve => {
			const finish = (origin: StreamOrigin | undefined) => {
				cancelWait();
				cancelTimer();
				resolve(origin);
			};

			const cancelWait = origins.subscribe(key, finish);
			const cancelTimer = clock.setTimer(answerTimeoutMs, () => {
				finish(undefined);
			});
			bus.broadcast({kind: 'origin_wanted', key});
		});
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
