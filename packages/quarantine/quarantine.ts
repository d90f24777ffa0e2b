/**
 * Counts strikes against requests that were in flight on a target when it
 * crashed. A request with too many strikes is quarantined for a time; a
 * completed run clears its strikes. The strikes of a request are a set of
 * crashes, which instances merge by union, so that a crash seen by several
 * instances counts once.
 */
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

/** Options of {@link Quarantine}. */
export type QuarantineOptions = Readonly<{
	/** Number of crashes at which a request is quarantined. Default: 2. */
	strikeLimit?: number;
	/** Time after the newest crash at which strikes and quarantine expire, in milliseconds. Default: 600 000. */
	retentionMs?: number;
	/** Maximum number of fingerprints kept; the oldest is evicted first. Default: 10 000. */
	maxEntries?: number;
	/** Approximate time after which an entry is broadcast again if no peer has broadcast it, in milliseconds. Default: 5000. */
	rebroadcastIntervalMs?: number;
}>;

/** The strikes of one fingerprint. */
type Entry = {
	readonly crashes: Set<string>;
	/** Crashes cleared by a completed run. They are kept so that a peer that has missed the completion cannot add them again. */
	readonly cleared: Set<string>;
	expiresMs: number;
	/** Time at which this instance or a peer last broadcast the entry. */
	lastBroadcastMs: number;
};

const maxCrashesPerEntry = 16;

/** Maximum number of entries that are broadcast again per interval. */
const maxRebroadcastEntries = 64;

/** The strikes of requests by fingerprint. Exchanges them with the peers. */
export class Quarantine {
	readonly #dependencies: QuarantineDependencies;
	readonly #strikeLimit: number;
	readonly #retentionMs: number;
	readonly #maxEntries: number;
	readonly #rebroadcastIntervalMs: number;
	readonly #entries = new Map<string, Entry>();
	readonly #subscribers = new Map<string, Set<() => void>>();
	readonly #cancels: readonly Cancel[];

	constructor(dependencies: QuarantineDependencies, options: QuarantineOptions = {}) {
		this.#dependencies = dependencies;
		this.#strikeLimit = options.strikeLimit ?? 2;
		this.#retentionMs = options.retentionMs ?? 600_000;
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

	/** Counts the strikes against a fingerprint. */
	countStrikes(fingerprint: string): number {
		return this.#find(fingerprint)?.crashes.size ?? 0;
	}

	/** Returns the time for which requests with this fingerprint are still refused, in milliseconds; 0 if they are admitted. */
	getRefusalMs(fingerprint: string): number {
		const entry = this.#find(fingerprint);
		return entry && entry.crashes.size >= this.#strikeLimit ? entry.expiresMs - this.#dependencies.clock.now() : 0;
	}

	/** Records that a target crashed while the request was in flight there, and broadcasts the strike. */
	recordCrash(fingerprint: string, target: string, incarnation: string): void {
		const entry = this.#find(fingerprint) ?? this.#createEntry(fingerprint);
		const crash = `${target}@${incarnation}`;
		if (entry.crashes.has(crash)) {
			return;
		}

		this.#addCrash(entry, crash);
		entry.expiresMs = this.#dependencies.clock.now() + this.#retentionMs;
		this.#dependencies.telemetry.count('strikes_total', {source: 'own'});
		this.#broadcast(fingerprint, entry);
		this.#notifySubscribers(fingerprint);
	}

	/** Records that a run completed, which clears the strikes on this instance and its peers. */
	recordCompletion(fingerprint: string): void {
		const entry = this.#find(fingerprint);
		if (!entry || entry.crashes.size === 0) {
			return;
		}

		clearCrashes(entry, entry.crashes);
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

	/** Returns the newest entries as strike messages, for an instance that starts. */
	exportStrikes(maxStrikes: number): ReadonlyArray<PeerMessageOf<'strike'>> {
		const fingerprints = [...this.#entries.keys()].filter(fingerprint => this.#find(fingerprint));
		return fingerprints.slice(-maxStrikes).map(fingerprint => this.#createStrikeMessage(fingerprint, this.#entries.get(fingerprint)!));
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
			this.#entries.delete(fingerprint);
			return undefined;
		}

		return entry;
	}

	#createEntry(fingerprint: string): Entry {
		const now = this.#dependencies.clock.now();
		const entry = {
			crashes: new Set<string>(), cleared: new Set<string>(), expiresMs: now + this.#retentionMs, lastBroadcastMs: now,
		};
		this.#entries.set(fingerprint, entry);
		for (const oldest of this.#entries.keys()) {
			if (this.#entries.size <= this.#maxEntries) {
				break;
			}

			this.#entries.delete(oldest);
		}

		return entry;
	}

	#addCrash(entry: Entry, crash: string): boolean {
		if (entry.crashes.size >= maxCrashesPerEntry || entry.cleared.has(crash) || entry.crashes.has(crash)) {
			return false;
		}

		entry.crashes.add(crash);
		if (entry.crashes.size === this.#strikeLimit) {
			this.#dependencies.telemetry.count('quarantines_total');
		}

		return true;
	}

	#mergeStrikeMessage({fingerprint, crashes, cleared, untilWallMs}: PeerMessageOf<'strike'>): void {
		const {clock, telemetry} = this.#dependencies;
		const remainingMs = Math.min(this.#retentionMs, untilWallMs - clock.getWallTimeMs());
		if (remainingMs <= 0) {
			return;
		}

		const entry = this.#find(fingerprint) ?? this.#createEntry(fingerprint);
		clearCrashes(entry, cleared);
		const added = crashes.filter(crash => this.#addCrash(entry, crash));
		entry.expiresMs = Math.max(entry.expiresMs, clock.now() + remainingMs);
		entry.lastBroadcastMs = clock.now();
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
		const due = [...this.#entries.keys()].filter(fingerprint => (this.#find(fingerprint)?.lastBroadcastMs ?? Infinity) <= dueMs);
		for (const fingerprint of due.slice(0, maxRebroadcastEntries)) {
			const entry = this.#entries.get(fingerprint)!;
			entry.lastBroadcastMs = clock.now();
			bus.sendToSample(this.#createStrikeMessage(fingerprint, entry));
		}
	}

	#createStrikeMessage(fingerprint: string, entry: Entry): PeerMessageOf<'strike'> {
		const {clock} = this.#dependencies;
		return {
			kind: 'strike', fingerprint, crashes: [...entry.crashes], cleared: [...entry.cleared], untilWallMs: clock.getWallTimeMs() + entry.expiresMs - clock.now(),
		};
	}

	#notifySubscribers(fingerprint: string): void {
		for (const handler of this.#subscribers.get(fingerprint) ?? []) {
			handler();
		}
	}
}

function clearCrashes(entry: Entry, crashes: Iterable<string>): void {
	for (const crash of crashes) {
		entry.crashes.delete(crash);
		if (entry.cleared.size < maxCrashesPerEntry) {
			entry.cleared.add(crash);
		}
	}
}
