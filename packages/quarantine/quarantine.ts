/**
 * Strikes against requests that were in flight on a target when it crashed. A
 * completed run clears them; at the limit the request is quarantined for a
 * time. Strikes are sets of crashes, merged with the peers' sets by union, so
 * that one crash seen by several instances counts once.
 */
import type {Cancel, Clock} from '#clock';
import type {Random} from '#core';
import type {PeerBus, PeerMessageOf} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

/** What a quarantine works with. */
export type QuarantineDeps = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	bus: PeerBus;
}>;

/** Options of {@link Quarantine}. */
export type QuarantineOptions = Readonly<{
	/** Crashes after which a request is quarantined. Default: 2. */
	limit?: number;
	/** Time for which strikes and quarantine last, in milliseconds. Default: 600 000. */
	holdMs?: number;
	/** Fingerprints kept; the oldest is forgotten first. Default: 10 000. */
	maxEntries?: number;
	/** Time after which an entry is told again if no peer has told it, in milliseconds. Default: 5000. */
	repeatMs?: number;
}>;

type Entry = {
	readonly crashes: Set<string>;
	/** Crashes that a completed run has cleared; they do not come back from a peer that has not heard. */
	readonly cleared: Set<string>;
	untilMs: number;
	/** When this instance or a peer last told of the entry. */
	toldMs: number;
};

const maxCrashesKept = 16;
const maxRepeated = 64;

/** Keeps strikes by fingerprint. */
export class Quarantine {
	readonly #deps: QuarantineDeps;
	readonly #limit: number;
	readonly #holdMs: number;
	readonly #maxEntries: number;
	readonly #repeatMs: number;
	readonly #entries = new Map<string, Entry>();
	readonly #watchers = new Map<string, Set<() => void>>();
	readonly #cancels: readonly Cancel[];

	constructor(deps: QuarantineDeps, options: QuarantineOptions = {}) {
		this.#deps = deps;
		this.#limit = options.limit ?? 2;
		this.#holdMs = options.holdMs ?? 600_000;
		this.#maxEntries = options.maxEntries ?? 10_000;
		this.#repeatMs = options.repeatMs ?? 5000;
		this.#cancels = [
			deps.bus.subscribe('strike', message => {
				this.#merge(message);
			}),
			deps.clock.subscribe(this.#repeatMs, () => {
				this.#repeat();
			}),
		];
	}

	/** Fingerprints kept. */
	get size(): number {
		return this.#entries.size;
	}

	/** Crashes held against a fingerprint. */
	countStrikes(fingerprint: string): number {
		return this.#find(fingerprint)?.crashes.size ?? 0;
	}

	/** Time for which requests with this fingerprint are refused, in milliseconds; 0 when they are not. */
	readRefusalMs(fingerprint: string): number {
		const entry = this.#find(fingerprint);
		return entry && entry.crashes.size >= this.#limit ? entry.untilMs - this.#deps.clock.now() : 0;
	}

	/** Records that a target crashed while the request was in flight there, and tells the peers. */
	recordCrash(fingerprint: string, target: string, incarnation: string): void {
		const entry = this.#find(fingerprint) ?? this.#create(fingerprint);
		const crash = `${target}@${incarnation}`;
		if (entry.crashes.has(crash)) {
			return;
		}

		this.#add(entry, crash);
		entry.untilMs = this.#deps.clock.now() + this.#holdMs;
		this.#deps.telemetry.count('strikes_total', {source: 'own'});
		this.#tell(fingerprint, entry);
		this.#wake(fingerprint);
	}

	/** Records that a run completed, which clears the strikes here and at the peers. */
	recordCompletion(fingerprint: string): void {
		const entry = this.#find(fingerprint);
		if (!entry || entry.crashes.size === 0) {
			return;
		}

		clearCrashes(entry, entry.crashes);
		this.#deps.telemetry.count('strikes_cleared_total');
		this.#tell(fingerprint, entry);
	}

	/** Calls `handler` when a further crash is held against the fingerprint. */
	watch(fingerprint: string, handler: () => void): Cancel {
		const handlers = this.#watchers.get(fingerprint) ?? new Set();
		this.#watchers.set(fingerprint, handlers);
		handlers.add(handler);
		return () => {
			handlers.delete(handler);
			if (handlers.size === 0 && this.#watchers.get(fingerprint) === handlers) {
				this.#watchers.delete(fingerprint);
			}
		};
	}

	/** The newest entries, for an instance that starts. */
	exportStrikes(maxStrikes: number): ReadonlyArray<PeerMessageOf<'strike'>> {
		const fingerprints = [...this.#entries.keys()].filter(fingerprint => this.#find(fingerprint));
		return fingerprints.slice(-maxStrikes).map(fingerprint => this.#write(fingerprint, this.#entries.get(fingerprint)!));
	}

	/** Takes in what a peer exported. */
	importStrikes(strikes: ReadonlyArray<PeerMessageOf<'strike'>>): void {
		for (const strike of strikes) {
			this.#merge(strike);
		}
	}

	/** Stops listening and repeating. */
	close(): void {
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	#find(fingerprint: string): Entry | undefined {
		const entry = this.#entries.get(fingerprint);
		if (entry && entry.untilMs <= this.#deps.clock.now()) {
			this.#entries.delete(fingerprint);
			return undefined;
		}

		return entry;
	}

	#create(fingerprint: string): Entry {
		const now = this.#deps.clock.now();
		const entry = {
			crashes: new Set<string>(), cleared: new Set<string>(), untilMs: now + this.#holdMs, toldMs: now,
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

	#add(entry: Entry, crash: string): boolean {
		if (entry.crashes.size >= maxCrashesKept || entry.cleared.has(crash) || entry.crashes.has(crash)) {
			return false;
		}

		entry.crashes.add(crash);
		if (entry.crashes.size === this.#limit) {
			this.#deps.telemetry.count('quarantines_total');
		}

		return true;
	}

	#merge({fingerprint, crashes, cleared, untilWallMs}: PeerMessageOf<'strike'>): void {
		const {clock, telemetry} = this.#deps;
		const leftMs = Math.min(this.#holdMs, untilWallMs - clock.wall());
		if (leftMs <= 0) {
			return;
		}

		const entry = this.#find(fingerprint) ?? this.#create(fingerprint);
		clearCrashes(entry, cleared);
		const added = crashes.filter(crash => this.#add(entry, crash));
		entry.untilMs = Math.max(entry.untilMs, clock.now() + leftMs);
		entry.toldMs = clock.now();
		if (added.length > 0) {
			telemetry.count('strikes_total', {source: 'peer'}, added.length);
			this.#wake(fingerprint);
		}
	}

	#tell(fingerprint: string, entry: Entry): void {
		entry.toldMs = this.#deps.clock.now();
		this.#deps.bus.relay(this.#write(fingerprint, entry));
	}

	/** Tells entries again that no peer has told for a while, so that an instance that has just started learns them. */
	#repeat(): void {
		const {clock, bus, random} = this.#deps;
		const dueMs = clock.now() - (this.#repeatMs * (0.5 + random.next()));
		const due = [...this.#entries.keys()].filter(fingerprint => (this.#find(fingerprint)?.toldMs ?? Infinity) <= dueMs);
		for (const fingerprint of due.slice(0, maxRepeated)) {
			const entry = this.#entries.get(fingerprint)!;
			entry.toldMs = clock.now();
			bus.sample(this.#write(fingerprint, entry));
		}
	}

	#write(fingerprint: string, entry: Entry): PeerMessageOf<'strike'> {
		const {clock} = this.#deps;
		return {
			kind: 'strike', fingerprint, crashes: [...entry.crashes], cleared: [...entry.cleared], untilWallMs: clock.wall() + entry.untilMs - clock.now(),
		};
	}

	#wake(fingerprint: string): void {
		for (const handler of this.#watchers.get(fingerprint) ?? []) {
			handler();
		}
	}
}

function clearCrashes(entry: Entry, crashes: Iterable<string>): void {
	for (const crash of crashes) {
		entry.crashes.delete(crash);
		if (entry.cleared.size < maxCrashesKept) {
			entry.cleared.add(crash);
		}
	}
}
