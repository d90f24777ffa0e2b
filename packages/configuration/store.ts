/**
 * The configuration in force on this instance. A few instances watch the
 * platform's head; the others hear of a new generation from their neighbours,
 * fetch from them what they lack, and read the head now and then themselves.
 * A generation only rises.
 */
import {createHash} from 'node:crypto';
import Emittery from 'emittery';
import {checkFragments} from './check.ts';
import type {Fragment} from './fragment.ts';
import {parseHead, readHead, type Head} from './head.ts';
import {headKey, makeFragmentKey} from './keys.ts';
import type {Clock} from '#clock';
import type {Configuration} from '#core';
import {createQuietBus, type Peer, type PeerBus} from '#peer-protocol';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

type StoreEvents = {changed: Configuration};
type FragmentNames = Readonly<Record<string, string>>;
type Hint = Readonly<{peer: Peer; generation: number}>;

/** Options of {@link ConfigurationStore}. */
export type ConfigurationStoreOptions = Readonly<{
	/** Where generations and fragments are relayed. Default: no peers. */
	bus?: PeerBus;
	/** Whether this instance watches the head at present. Default: always. */
	isWatcher?: () => boolean;
	/** Time between reads of the head where it is not watched, in milliseconds. Default: 15 000. */
	pollMs?: number;
}>;

const retryMs = 500;

/** Keeps the newest accepted generation in force; a generation never falls. */
export class ConfigurationStore {
	readonly events = new Emittery<StoreEvents>();
	#current: Configuration | undefined;
	#fragments: FragmentNames = {};
	#texts: ReadonlyMap<string, string> = new Map();
	#rejected = 0;
	#isFetching = false;
	readonly #hints = new Map<string, Hint>();
	readonly #platform: ObjectStore;
	readonly #clock: Clock;
	readonly #telemetry: Telemetry;
	readonly #bus: PeerBus;
	readonly #options: Required<Pick<ConfigurationStoreOptions, 'isWatcher' | 'pollMs'>>;

	constructor(platform: ObjectStore, clock: Clock, telemetry: Telemetry, options: ConfigurationStoreOptions = {}) {
		this.#platform = platform;
		this.#clock = clock;
		this.#telemetry = telemetry;
		this.#bus = options.bus ?? createQuietBus();
		this.#options = {isWatcher: options.isWatcher ?? (() => true), pollMs: options.pollMs ?? 15_000};
		this.#bus.subscribe('generation', ({generation}, from) => {
			this.receive(from, generation);
		});
		this.#bus.answer('head', () => this.#current && {kind: 'head', generation: this.#current.generation, fragments: this.#fragments});
		this.#bus.answer('fragment', ({service, checksum}) => {
			const text = this.#texts.get(makeFragmentKey(service, checksum));
			return text === undefined ? undefined : {kind: 'fragment', text};
		});
	}

	/** The configuration in force; none before the first read. */
	get current(): Configuration | undefined {
		return this.#current;
	}

	/** Whether a neighbour has a newer generation in force. */
	get isBehind(): boolean {
		return [...this.#hints.values()].some(({generation}) => this.#isNew(generation));
	}

	/** Follows the head until `signal` aborts. One task per instance. */
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
			const isTaken = batch.ok && (head === undefined || await this.#take(head));
			if (batch.ok && isTaken) {
				revision = batch.value.revision;
			} else {
				await this.#clock.sleep(retryMs, signal);
			}
		}
	}

	/**
	 * Reads the head and the fragments that are not known yet.
	 *
	 * @returns whether the platform answered
	 */
	async refresh(): Promise<boolean> {
		const read = await readHead(this.#platform);
		return read.ok && this.#take(read.value.head);
	}

	/** Takes in that a neighbour has a generation in force; fetches it if it is newer. */
	receive(from: Peer, generation: number): void {
		if (!this.#isNew(generation)) {
			this.#hints.delete(from.incarnation);
			return;
		}

		this.#hints.set(from.incarnation, {peer: from, generation});
		if (!this.#isFetching) {
			void this.#fetchHinted();
		}
	}

	#isNew(generation: number): boolean {
		return generation > Math.max(this.#current?.generation ?? 0, this.#rejected);
	}

	/** @returns whether nothing is left to fetch of this head */
	async #take(head: Head): Promise<boolean> {
		if (!this.#isNew(head.generation)) {
			return true;
		}

		const texts = new Map<string, string>();
		for (const [service, checksum] of Object.entries(head.fragments)) {
			const key = makeFragmentKey(service, checksum);
			const text = this.#texts.get(key) ?? await this.#readText(key, checksum);
			if (text === undefined) {
				return false;
			}

			texts.set(key, text);
		}

		this.#install(head.generation, head.fragments, texts);
		return true;
	}

	async #readText(key: string, checksum: string): Promise<string | undefined> {
		const stored = await this.#platform.get(key);
		return stored.ok && stored.value && hasChecksum(stored.value.value, checksum) ? stored.value.value : undefined;
	}

	/** Fetches from neighbours, the newest generation first, until none has a newer one. */
	async #fetchHinted(): Promise<void> {
		this.#isFetching = true;
		for (let hint = this.#pickHint(); hint; hint = this.#pickHint()) {
			const isFetched = await this.#fetchFrom(hint.peer);
			this.#telemetry.count('configuration_fetches_total', {result: isFetched ? 'fetched' : 'failed'});
			if (this.#hints.get(hint.peer.incarnation) === hint) {
				this.#hints.delete(hint.peer.incarnation);
			}
		}

		this.#isFetching = false;
	}

	#pickHint(): Hint | undefined {
		return [...this.#hints.values()].filter(({generation}) => this.#isNew(generation)).toSorted((a, b) => b.generation - a.generation)[0];
	}

	async #fetchFrom(peer: Peer): Promise<boolean> {
		const head = await this.#bus.request(peer, {kind: 'head'});
		if (!head.ok || !this.#isNew(head.value.generation)) {
			return false;
		}

		const texts = new Map<string, string>();
		for (const [service, checksum] of Object.entries(head.value.fragments)) {
			const key = makeFragmentKey(service, checksum);
			const text = this.#texts.get(key) ?? await this.#fetchText(peer, service, checksum);
			if (text === undefined) {
				return false;
			}

			texts.set(key, text);
		}

		this.#install(head.value.generation, head.value.fragments, texts);
		return true;
	}

	async #fetchText(peer: Peer, service: string, checksum: string): Promise<string | undefined> {
		const answer = await this.#bus.request(peer, {kind: 'fragment', service, checksum});
		return answer.ok && hasChecksum(answer.value.text, checksum) ? answer.value.text : this.#readText(makeFragmentKey(service, checksum), checksum);
	}

	#install(generation: number, fragments: FragmentNames, texts: ReadonlyMap<string, string>): void {
		if (!this.#isNew(generation)) {
			return;
		}

		const checked = checkFragments([...texts].map(([file, text]): Fragment => ({file, text})), generation);
		if (!checked.ok) {
			this.#rejected = generation;
			this.#telemetry.count('configuration_rejected_total');
			this.#telemetry.log('configuration not understood', {generation, fault: checked.error[0]});
			return;
		}

		this.#current = checked.value.configuration;
		this.#fragments = fragments;
		this.#texts = texts;
		this.#telemetry.count('configuration_changes_total');
		this.#telemetry.set('configuration_generation', generation);
		this.#telemetry.log('configuration in force', {generation});
		this.#bus.sample({kind: 'generation', generation});
		void this.events.emit('changed', checked.value.configuration);
	}
}

function hasChecksum(text: string, checksum: string): boolean {
	return createHash('sha256').update(text).digest('hex') === checksum;
}
