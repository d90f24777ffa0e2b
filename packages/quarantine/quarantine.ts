/**
 * Counts strikes against requests that were in flight on a target when it
 * crashed. A request with too many strikes is quarantined for a time; a
 * completed run clears its strikes. The strikes of a request are a set of
 * crashes, which instances merge by union, so that a crash seen by several
 * instances counts once.
 */
import Emittery from 'emittery';
import type {QuarantineOptions} from './quarantine-options.ts';
import type {Cancel, Clock} from '#clock';
import type {Random} from '#core';
import type {PeerBus, PeerMessageOf} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

/** Dependencies of {@link Quarantine}. */
export type QuarantineDependencies = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	bus: PeerBus;
}>;

/** The strikes of one fingerprint, as seen from outside. */
export type StrikeRecord = Readonly<{
	/** Targets and incarnations that crashed. */
	crashes: ReadonlySet<string>;
	/** Time at which this instance learned of the newest crash, in milliseconds. */
	lastStrikeMs: number;
	/** Number of trials since the quarantine began that ended with a crash. */
	failedTrials: number;
}>;

/** The strikes of one fingerprint. */
type Entry = {
	readonly crashes: Set<string>;
	/** The newest crashes cleared by a completed run. They are kept so that a peer that has missed the completion cannot add them again. */
	readonly cleared: Set<string>;
	lastStrikeMs: number;
	failedTrials: number;
	expiresMs: number;
	/** Time at which this instance or a peer last broadcast the entry. */
	lastBroadcastMs: number;
};

const maxCrashesPerEntry = 16;
const maxFailedTrials = 1000;

/** Maximum number of entries that are broadcast again per interval. */
const maxRebroadcastEntries = 64;
/** Separates the namespace from the fingerprint in messages. */
const namespaceSeparator = ':';

/** The strikes of requests by fingerprint. Exchanges them with the peers. */
export class Quarantine {
	/** Emits a fingerprint when it is one strike short of the limit or beyond, and its strikes change. */
	readonly events = new Emittery<{changed: string}>();
	readonly strikeLimit: number;
	readonly #dependencies: QuarantineDependencies;
	readonly #prefix: string;
	readonly #retentionMs: number;
	readonly #quarantineRetentionMs: number;
	readonly #rebroadcastPeriodMs: number;
	readonly #maxEntries: number;
	readonly #rebroadcastIntervalMs: number;
	readonly #entries = new Map<string, Entry>();
	readonly #quarantined = new Set<string>();
	readonly #subscribers = new Map<string, Set<() => void>>();
	readonly #cancels: readonly Cancel[];

	constructor(dependencies: QuarantineDependencies, options: QuarantineOptions = {}) {
		this.#dependencies = dependencies;
		this.strikeLimit = options.strikeLimit ?? 2;
		this.#prefix = options.namespace === undefined ? '' : `${options.namespace}${namespaceSeparator}`;
		this.#retentionMs = options.retentionMs ?? 600_000;
		this.#quarantineRetentionMs = options.quarantineRetentionMs ?? this.#retentionMs;
		this.#rebroadcastPeriodMs = options.rebroadcastPeriodMs ?? this.#retentionMs;
		this.#maxEntries = options.maxEntries ?? 10_000;
		this.#rebroadcastIntervalMs = options.rebroadcastIntervalMs ?? 5000;
		this.#cancels = [
			dependencies.bus.subscribe('strike', message => {
				this.#mergeStrikeMessage(message);
			}),
			dependencies.clock.subscribe(this.#rebroadcastIntervalMs, () => {
				this.#rebroadcast();
			}),
		];
	}

	/** Number of fingerprints kept. */
	get size(): number {
		return this.#entries.size;
	}

	/** Number of quarantined fingerprints, among them perhaps some that have just expired. */
	get quarantinedCount(): number {
		return this.#quarantined.size;
	}

	/** Counts the strikes against a fingerprint. */
	countStrikes(fingerprint: string): number {
		return this.#find(fingerprint)?.crashes.size ?? 0;
	}

	/** Returns the strikes of a fingerprint that is quarantined, else `undefined`. */
	getQuarantine(fingerprint: string): StrikeRecord | undefined {
		return this.#quarantined.has(fingerprint) ? this.#find(fingerprint) : undefined;
	}

	/** Lists up to `maxCount` quarantined fingerprints with their strikes, the newest quarantines first. */
	listQuarantines(maxCount: number): ReadonlyArray<readonly [string, StrikeRecord]> {
		return [...this.#quarantined].slice(-maxCount).toReversed().flatMap(fingerprint => {
			const entry = this.#find(fingerprint);
			return entry ? [[fingerprint, entry] as const] : [];
		});
	}

	/** Returns the time for which requests with this fingerprint are still refused, in milliseconds; 0 if they are admitted. */
	getRefusalMs(fingerprint: string): number {
		const entry = this.#find(fingerprint);
		return entry && entry.crashes.size >= this.strikeLimit ? entry.expiresMs - this.#dependencies.clock.now() : 0;
	}

	/** Records that a target crashed while the request was in flight there, and broadcasts the strike. */
	recordCrash(fingerprint: string, target: string, incarnation: string): void {
		const entry = this.#find(fingerprint) ?? this.#createEntry(fingerprint);
		const crash = `${target}@${incarnation}`;
		if (entry.crashes.has(crash)) {
			return;
		}

		this.#addCrash(fingerprint, entry, crash);
		entry.expiresMs = this.#computeExpiryMs(entry);
		this.#dependencies.telemetry.count('strikes_total', {source: 'own'});
		this.#broadcast(fingerprint, entry);
		this.#notifySubscribers(fingerprint);
	}

	/** Records that a trial of a quarantined fingerprint ended with a crash, and broadcasts it. */
	recordFailedTrial(fingerprint: string): void {
		const entry = this.#quarantined.has(fingerprint) ? this.#find(fingerprint) : undefined;
		if (entry) {
			entry.failedTrials = Math.min(maxFailedTrials, entry.failedTrials + 1);
			entry.lastStrikeMs = this.#dependencies.clock.now();
			this.#broadcast(fingerprint, entry);
			void this.events.emit('changed', fingerprint);
		}
	}

	/** Records that a run completed, which clears the strikes on this instance and its peers. */
	recordCompletion(fingerprint: string): void {
		const entry = this.#find(fingerprint);
		if (!entry || entry.crashes.size === 0) {
			return;
		}

		this.#clearCrashes(fingerprint, entry, entry.crashes);
		this.#dependencies.telemetry.count('strikes_cleared_total');
		this.#broadcast(fingerprint, entry);
	}

	/** Calls `handler` when a strike is added to the fingerprint. */
	subscribe(fingerprint: string, handler: () => void): Cancel {
		const handlers = this.#subscribers.get(fingerprint) ?? new Set();
		this.#subscribers.set(fingerprint, handlers);
		handlers.add(handler);
		return () => {
			handlers.delete(handler);
			if (handlers.size === 0 && this.#subscribers.get(fingerprint) === handlers) {
				this.#subscribers.delete(fingerprint);
			}
		};
	}

	/** Returns the quarantined and then the newest entries as strike messages, for an instance that starts. */
	exportStrikes(maxStrikes: number): ReadonlyArray<PeerMessageOf<'strike'>> {
		const others = [...this.#entries.keys()].filter(fingerprint => !this.#quarantined.has(fingerprint) && this.#find(fingerprint));
		const quarantined = this.listQuarantines(maxStrikes).map(([fingerprint]) => fingerprint);
		const newest = others.slice(Math.max(0, others.length + quarantined.length - maxStrikes));
		return [...quarantined, ...newest].map(fingerprint => this.#createStrikeMessage(fingerprint, this.#entries.get(fingerprint)!));
	}

	/** Returns the strikes of a fingerprint as a strike message; `undefined` if it would take more than one further strike to quarantine it. */
	exportStrike(fingerprint: string): PeerMessageOf<'strike'> | undefined {
		const entry = this.#find(fingerprint);
		return entry && entry.crashes.size >= this.strikeLimit - 1 ? this.#createStrikeMessage(fingerprint, entry) : undefined;
	}

	/** Merges the strike messages that a peer exported. */
	importStrikes(strikes: ReadonlyArray<PeerMessageOf<'strike'>>): void {
		for (const strike of strikes) {
			this.#mergeStrikeMessage(strike);
		}
	}

	/** Stops the exchange with peers. */
	close(): void {
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	#find(fingerprint: string): Entry | undefined {
		const entry = this.#entries.get(fingerprint);
		if (entry && entry.expiresMs <= this.#dependencies.clock.now()) {
			this.#delete(fingerprint);
			return undefined;
		}

		return entry;
	}

	#delete(fingerprint: string): void {
		this.#entries.delete(fingerprint);
		this.#quarantined.delete(fingerprint);
	}

	#createEntry(fingerprint: string): Entry {
		const now = this.#dependencies.clock.now();
		const entry = {
			crashes: new Set<string>(), cleared: new Set<string>(), lastStrikeMs: now, failedTrials: 0, expiresMs: now + this.#retentionMs, lastBroadcastMs: now,
		};
		this.#entries.set(fingerprint, entry);
		if (this.#entries.size > this.#maxEntries) {
			this.#delete(this.#findEvictable());
		}

		return entry;
	}

	/** Returns the oldest fingerprint that is not quarantined, or the oldest one if all are. */
	#findEvictable(): string {
		for (const fingerprint of this.#entries.keys()) {
			if (!this.#quarantined.has(fingerprint)) {
				return fingerprint;
			}
		}

		return this.#entries.keys().next().value!;
	}

	#computeExpiryMs({crashes}: Entry): number {
		return this.#dependencies.clock.now() + (crashes.size >= this.strikeLimit ? this.#quarantineRetentionMs : this.#retentionMs);
	}

	#addCrash(fingerprint: string, entry: Entry, crash: string): boolean {
		if (entry.crashes.size >= maxCrashesPerEntry || entry.cleared.has(crash) || entry.crashes.has(crash)) {
			return false;
		}

		entry.crashes.add(crash);
		entry.lastStrikeMs = this.#dependencies.clock.now();
		if (entry.crashes.size === this.strikeLimit) {
			this.#quarantined.add(fingerprint);
			this.#dependencies.telemetry.count('quarantines_total');
		}

		if (entry.crashes.size >= this.strikeLimit - 1) {
			void this.events.emit('changed', fingerprint);
		}

		return true;
	}

	#clearCrashes(fingerprint: string, entry: Entry, crashes: Iterable<string>): void {
		const strikes = entry.crashes.size;
		for (const crash of crashes) {
			entry.crashes.delete(crash);
			entry.cleared.add(crash);
			if (entry.cleared.size > maxCrashesPerEntry) {
				entry.cleared.delete(entry.cleared.values().next().value!);
			}
		}

		if (entry.crashes.size < this.strikeLimit && this.#quarantined.delete(fingerprint)) {
			entry.failedTrials = 0;
		}

		if (entry.crashes.size < strikes && strikes >= this.strikeLimit - 1) {
			void this.events.emit('changed', fingerprint);
		}
	}

	#mergeStrikeMessage({fingerprint: name, crashes, cleared, untilWallMs, failedTrials = 0}: PeerMessageOf<'strike'>): void {
		const {clock, telemetry} = this.#dependencies;
		const namespaceLength = name.indexOf(namespaceSeparator) + 1;
		if (name.slice(0, namespaceLength) !== this.#prefix) {
			return;
		}

		const remainingMs = Math.min(Math.max(this.#retentionMs, this.#quarantineRetentionMs), untilWallMs - clock.getWallTimeMs());
		if (remainingMs <= 0) {
			return;
		}

		const fingerprint = name.slice(namespaceLength);
		const entry = this.#find(fingerprint) ?? this.#createEntry(fingerprint);
		this.#clearCrashes(fingerprint, entry, cleared);
		const added = crashes.filter(crash => this.#addCrash(fingerprint, entry, crash));
		// The sender keeps strikes that have reached the limit only here for a shorter time.
		const isNewQuarantine = entry.crashes.size >= this.strikeLimit && crashes.length < this.strikeLimit && added.length > 0;
		entry.expiresMs = Math.max(entry.expiresMs, isNewQuarantine ? this.#computeExpiryMs(entry) : clock.now() + remainingMs);
		entry.lastBroadcastMs = clock.now();
		if (this.#quarantined.has(fingerprint) && failedTrials > entry.failedTrials) {
			entry.failedTrials = failedTrials;
			entry.lastStrikeMs = clock.now();
		}

		if (added.length > 0) {
			telemetry.count('strikes_total', {source: 'peer'}, added.length);
			this.#notifySubscribers(fingerprint);
		}
	}

	/** Sends an entry to all peers. */
	#broadcast(fingerprint: string, entry: Entry): void {
		entry.lastBroadcastMs = this.#dependencies.clock.now();
		this.#dependencies.bus.broadcastViaPeers(this.#createStrikeMessage(fingerprint, entry));
	}

	/** Broadcasts entries again that no peer has broadcast for a while, so that instances that have just started learn them. The age at which an entry is due is random, so that usually one instance broadcasts it before the others. One broadcast goes to a sample of the peers only, as it is periodic. */
	#rebroadcast(): void {
		const {clock, bus, random} = this.#dependencies;
		const dueMs = clock.now() - (this.#rebroadcastIntervalMs * (0.5 + random.next()));
		const due = [...this.#entries.keys()].filter(fingerprint => {
			const entry = this.#find(fingerprint);
			const isRepeated = this.#quarantined.has(fingerprint) || (entry !== undefined && clock.now() - entry.lastStrikeMs <= this.#rebroadcastPeriodMs);
			return isRepeated && entry !== undefined && entry.lastBroadcastMs <= dueMs;
		});
		for (const fingerprint of due.slice(0, maxRebroadcastEntries)) {
			const entry = this.#entries.get(fingerprint)!;
			entry.lastBroadcastMs = clock.now();
			bus.sendToSample(this.#createStrikeMessage(fingerprint, entry));
		}
	}

	#createStrikeMessage(fingerprint: string, entry: Entry): PeerMessageOf<'strike'> {
		const {clock} = this.#dependencies;
		return {
			kind: 'strike', fingerprint: `${this.#prefix}${fingerprint}`, crashes: [...entry.crashes], cleared: [...entry.cleared],
			...(entry.failedTrials > 0 && {failedTrials: entry.failedTrials}), untilWallMs: clock.getWallTimeMs() + entry.expiresMs - clock.now(),
		};
	}

	#notifySubscribers(fingerprint: string): void {
		for (const handler of this.#subscribers.get(fingerprint) ?? []) {
			handler();
		}
	}
}
