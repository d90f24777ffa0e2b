/**
 * Holds the configuration in force on this instance and applies newer
 * generations. A few instances watch the head object on the platform. The others
 * learn of new generations from their peers, fetch missing fragments from them,
 * and also poll the head at intervals. Generations only increase.
 */
import {createHash} from 'node:crypto';
import Emittery from 'emittery';
import {checkFragments} from './check.ts';
import type {Fragment} from './fragment.ts';
import {parseHead, readHead, type Head} from './head.ts';
import {headKey, createFragmentKey} from './keys.ts';
import type {Clock} from '#clock';
import type {Configuration} from '#core';
import {createNoopBus, type Peer, type PeerBus} from '#peer-protocol';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

type StoreEvents = {changed: Configuration};
type FragmentChecksums = Readonly<Record<string, string>>;
type PeerGeneration = Readonly<{peer: Peer; generation: number}>;

/** Options of {@link ConfigurationStore}. */
export type ConfigurationStoreOptions = Readonly<{
	/** Bus over which generations and fragments are exchanged with peers. Default: no peers. */
	bus?: PeerBus;
	/** Whether this instance should watch the head at present, rather than poll it. Default: always. */
	isWatcher?: () => boolean;
	/** Time between polls of the head while it is not watched, in milliseconds. Default: 15 000. */
	pollMs?: number;
}>;

const watchRetryMs = 500;

/** Holds the newest generation that passed the checks, and updates it from the platform and from peers. */
export class ConfigurationStore {
	readonly events = new Emittery<StoreEvents>();
	#current: Configuration | undefined;
	#fragmentChecksums: FragmentChecksums = {};
	#fragmentTexts: ReadonlyMap<string, string> = new Map();
	/** Newest generation that failed the checks on this instance; it is not fetched again. */
	#rejectedGeneration = 0;
	#isFetching = false;
	readonly #peerGenerations = new Map<string, PeerGeneration>();
	readonly #platform: ObjectStore;
	readonly #clock: Clock;
	readonly #telemetry: Telemetry;
	readonly #bus: PeerBus;
	readonly #options: Required<Pick<ConfigurationStoreOptions, 'isWatcher' | 'pollMs'>>;

	constructor(platform: ObjectStore, clock: Clock, telemetry: Telemetry, options: ConfigurationStoreOptions = {}) {
		this.#platform = platform;
		this.#clock = clock;
		this.#telemetry = telemetry;
		this.#bus = options.bus ?? createNoopBus();
		this.#options = {isWatcher: options.isWatcher ?? (() => true), pollMs: options.pollMs ?? 15_000};
		this.#bus.subscribe('generation', ({generation}, from) => {
			this.handlePeerGeneration(from, generation);
		});
		this.#bus.setRequestHandler('head', () => this.#current && {kind: 'head', generation: this.#current.generation, fragments: this.#fragmentChecksums});
		this.#bus.setRequestHandler('fragment', ({service, checksum}) => {
			const text = this.#fragmentTexts.get(createFragmentKey(service, checksum));
			return text === undefined ? undefined : {kind: 'fragment', text};
		});
	}

	/** The configuration in force; `undefined` before the first one was applied. */
	get current(): Configuration | undefined {
		return this.#current;
	}

	/** Whether a newer generation is in force on a peer. */
	get isBehind(): boolean {
		return [...this.#peerGenerations.values()].some(({generation}) => this.#isNewer(generation));
	}

	/** Watches or polls the head until `signal` aborts. Runs once per instance. */
	async run(signal: AbortSignal): Promise<void> {
		let revision = 0;
		while (!signal.aborted) {
			if (!this.#options.isWatcher()) {
				await this.refresh();
				await this.#clock.sleep(this.#options.pollMs, signal);
				continue;
			}

			const batch = await this.#platform.watch(headKey, revision, signal);
			const changed = batch.ok ? batch.value.changed.find(({key}) => key === headKey) : undefined;
			const head = changed && parseHead(changed.value);
			const isApplied = batch.ok && (head === undefined || await this.#applyHead(head));
			if (batch.ok && isApplied) {
				revision = batch.value.revision;
			} else {
				await this.#clock.sleep(watchRetryMs, signal);
			}
		}
	}

	/**
	 * Reads the head and the missing fragments from the platform, and applies them.
	 *
	 * @returns `false` if the head or one of its fragments could not be read
	 */
	async refresh(): Promise<boolean> {
		const read = await readHead(this.#platform);
		return read.ok && this.#applyHead(read.value.head);
	}

	/** Handles a peer's message that a generation is in force there; fetches that generation if it is newer. */
	handlePeerGeneration(from: Peer, generation: number): void {
		if (!this.#isNewer(generation)) {
			this.#peerGenerations.delete(from.incarnation);
			return;
		}

		this.#peerGenerations.set(from.incarnation, {peer: from, generation});
		if (!this.#isFetching) {
			void this.#fetchFromPeers();
		}
	}

	#isNewer(generation: number): boolean {
		return generation > Math.max(this.#current?.generation ?? 0, this.#rejectedGeneration);
	}

	/**
	 * Reads the missing fragments of a head from the platform and applies them.
	 *
	 * @returns `false` if a fragment could not be read; `true` also if the head is not newer
	 */
	async #applyHead(head: Head): Promise<boolean> {
		if (!this.#isNewer(head.generation)) {
			return true;
		}

		const texts = new Map<string, string>();
		for (const [service, checksum] of Object.entries(head.fragments)) {
			const key = createFragmentKey(service, checksum);
			const text = this.#fragmentTexts.get(key) ?? await this.#readFragmentText(key, checksum);
			if (text === undefined) {
				return false;
			}

			texts.set(key, text);
		}

		this.#applyGeneration(head.generation, head.fragments, texts);
		return true;
	}

	async #readFragmentText(key: string, checksum: string): Promise<string | undefined> {
		const stored = await this.#platform.get(key);
		return stored.ok && stored.value && hasChecksum(stored.value.value, checksum) ? stored.value.value : undefined;
	}

	/** Fetches from peers, the newest generation first, until none has a newer one. */
	async #fetchFromPeers(): Promise<void> {
		this.#isFetching = true;
		for (let newest = this.#chooseNewest(); newest; newest = this.#chooseNewest()) {
			const isFetched = await this.#fetchFromPeer(newest.peer);
			this.#telemetry.count('configuration_fetches_total', {result: isFetched ? 'fetched' : 'failed'});
			if (this.#peerGenerations.get(newest.peer.incarnation) === newest) {
				this.#peerGenerations.delete(newest.peer.incarnation);
			}
		}

		this.#isFetching = false;
	}

	#chooseNewest(): PeerGeneration | undefined {
		return [...this.#peerGenerations.values()].filter(({generation}) => this.#isNewer(generation)).toSorted((a, b) => b.generation - a.generation)[0];
	}

	async #fetchFromPeer(peer: Peer): Promise<boolean> {
		const head = await this.#bus.request(peer, {kind: 'head'});
		if (!head.ok || !this.#isNewer(head.value.generation)) {
			return false;
		}

		const texts = new Map<string, string>();
		for (const [service, checksum] of Object.entries(head.value.fragments)) {
			const key = createFragmentKey(service, checksum);
			const text = this.#fragmentTexts.get(key) ?? await this.#fetchFragmentText(peer, service, checksum);
			if (text === undefined) {
				return false;
			}

			texts.set(key, text);
		}

		this.#applyGeneration(head.value.generation, head.value.fragments, texts);
		return true;
	}

	async #fetchFragmentText(peer: Peer, service: string, checksum: string): Promise<string | undefined> {
		const answer = await this.#bus.request(peer, {kind: 'fragment', service, checksum});
		return answer.ok && hasChecksum(answer.value.text, checksum) ? answer.value.text : this.#readFragmentText(createFragmentKey(service, checksum), checksum);
	}

	#applyGeneration(generation: number, fragments: FragmentChecksums, texts: ReadonlyMap<string, string>): void {
		if (!this.#isNewer(generation)) {
			return;
		}

		const checked = checkFragments([...texts].map(([file, text]): Fragment => ({file, text})), generation);
		if (!checked.ok) {
			this.#rejectedGeneration = generation;
			this.#telemetry.count('configuration_rejected_total');
			this.#telemetry.log('configuration rejected', {generation, fault: checked.error[0]});
			return;
		}

		this.#current = checked.value.configuration;
		this.#fragmentChecksums = fragments;
		this.#fragmentTexts = texts;
		this.#telemetry.count('configuration_changes_total');
		this.#telemetry.set('configuration_generation', generation);
		this.#telemetry.log('configuration in force', {generation});
		this.#bus.sendToSample({kind: 'generation', generation});
		void this.events.emit('changed', checked.value.configuration);
	}
}

function hasChecksum(text: string, checksum: string): boolean {
	return createHash('sha256').update(text).digest('hex') === checksum;
}
