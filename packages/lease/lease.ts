/**
 * A lease through the platform's object API. The object holds its holder and a
 * fencing number that rises with each new holder. No wall clock is compared:
 * the holder counts its term from just before its last renewal, and a candidate
 * counts from when it first saw the object's present version, so a lease can
 * only look longer to a candidate than to its holder (Gray and Cheriton,
 * "Leases", 1989).
 */
import * as z from 'zod';
import type {Clock} from '#clock';
import type {Random} from '#core';
import type {ObjectStore, StoredObject} from '#object-store';
import type {Telemetry} from '#telemetry';

/** What a lease works with. */
export type LeaseDeps = Readonly<{
	platform: ObjectStore;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	/** Name of this instance; no other process has it while this one lives. */
	holder: string;
}>;

/** Options of {@link Lease}. */
export type LeaseOptions = Readonly<{
	/** Length of a term, in milliseconds. Default: 6000. */
	termMs?: number;
	/** Time for which a successor waits beyond the term, in milliseconds. Default: 2000. */
	guardMs?: number;
	/** Kind of the lease's object. Default: `leases`. */
	kind?: string;
}>;

const recordSchema = z.object({
	holder: z.string(),
	fencing: z.number().int().min(1),
	/** Recognises a write whose answer was lost. */
	nonce: z.string(),
});

type LeaseRecord = z.infer<typeof recordSchema>;
type Seen = Readonly<{version: number; sinceMs: number; record: LeaseRecord | undefined}>;

const renewalsPerTerm = 3;

/** A time-limited right that at most one instance holds. */
export class Lease {
	/** Time that a successor waits beyond the term, in milliseconds. */
	readonly guardMs: number;
	/** Length of a term, in milliseconds. */
	readonly termMs: number;
	readonly #deps: LeaseDeps;
	readonly #key: string;
	#seen: Seen | undefined;
	#fencing = 0;
	#validUntilMs = -Infinity;

	/** @param name key of the lease below its kind */
	constructor(name: string, deps: LeaseDeps, options: LeaseOptions = {}) {
		this.#deps = deps;
		this.#key = `${options.kind ?? 'leases'}/${name}`;
		this.termMs = options.termMs ?? 6000;
		this.guardMs = options.guardMs ?? 2000;
	}

	/** Fencing number of the present or last term; 0 before the first. */
	get fencing(): number {
		return this.#fencing;
	}

	/** Time left of the term on this instance's monotonic clock, in milliseconds; negative once it lapsed. */
	get remainingMs(): number {
		return this.#validUntilMs - this.#deps.clock.now();
	}

	/** Whether the lease is held right now. */
	get isHeld(): boolean {
		return this.remainingMs > 0;
	}

	/** Whether it is known who held the lease last. */
	get isKnown(): boolean {
		return this.#seen !== undefined;
	}

	/** Whether this instance was the last holder that it knows of, also when its term is over. */
	get isOwn(): boolean {
		return this.#seen?.record?.holder === this.#deps.holder;
	}

	/** Time between calls of {@link Lease.refresh}, in milliseconds. */
	get refreshMs(): number {
		return this.termMs / renewalsPerTerm;
	}

	/**
	 * Renews the lease if it is held, or takes it if it has lapsed.
	 *
	 * @param isCandidate whether this instance should take a lapsed lease
	 */
	async refresh(isCandidate: boolean): Promise<void> {
		const isHolder = this.isOwn && this.isHeld;
		if (!isHolder && !isCandidate) {
			return;
		}

		if (isHolder) {
			await this.#write(this.#seen!, this.#fencing);
			return;
		}

		const stored = await this.#deps.platform.get(this.#key);
		if (!stored.ok) {
			return;
		}

		this.#note(stored.value);
		const seen = this.#seen!;
		if (this.#hasLapsed(seen)) {
			await this.#write(seen, (seen.record?.fencing ?? 0) + 1);
		}
	}

	/** Reads who holds the lease, so that the wait for its end begins now. */
	async observe(): Promise<void> {
		const stored = await this.#deps.platform.get(this.#key);
		if (stored.ok) {
			this.#note(stored.value);
		}
	}

	/** Gives the lease up, so that a successor need not wait; also one whose term is over, if no other has taken it. No order may be on its way. */
	async release(): Promise<void> {
		if (!this.isOwn) {
			return;
		}

		const seen = this.#seen!;
		this.#validUntilMs = -Infinity;
		this.#seen = undefined;
		const record: LeaseRecord = {holder: '', fencing: this.#fencing, nonce: this.#deps.random.id()};
		const put = await this.#deps.platform.put(this.#key, JSON.stringify(record), {ifVersion: seen.version});
		this.#count(put.ok ? 'released' : 'not_released');
	}

	/** Forgets the term at once, as after a target has named a newer fencing number. */
	drop(): void {
		if (this.isHeld) {
			this.#count('superseded');
		}

		this.#validUntilMs = -Infinity;
		this.#seen = undefined;
	}

	/** A term of an earlier process of this instance ended with that process. */
	#hasLapsed(seen: Seen): boolean {
		if (!seen.record || seen.record.holder === '' || seen.record.holder === this.#deps.holder) {
			return true;
		}

		return this.#deps.clock.now() - seen.sinceMs >= this.termMs + this.guardMs;
	}

	async #write(seen: Seen, fencing: number): Promise<void> {
		const {platform, clock, random, holder} = this.#deps;
		const nonce = random.id();
		const startedMs = clock.now();
		const wasHeld = this.isHeld;
		const put = await platform.put(this.#key, JSON.stringify({holder, fencing, nonce}), {ifVersion: seen.version});
		const stored = put.ok ? put.value : await this.#readOwn(nonce);
		if (stored) {
			this.#seen = {version: stored.version, sinceMs: clock.now(), record: {holder, fencing, nonce}};
			this.#fencing = fencing;
			this.#validUntilMs = startedMs + this.termMs;
			if (!wasHeld) {
				this.#count('taken');
			}
		} else if (!put.ok && put.error.kind === 'conflict') {
			this.drop();
		}
	}

	/** Reads back a write whose answer was lost; nothing if it did not take effect or cannot be told. */
	async #readOwn(nonce: string): Promise<StoredObject | undefined> {
		const stored = await this.#deps.platform.get(this.#key);
		if (!stored.ok || !stored.value) {
			return undefined;
		}

		return parseRecord(stored.value)?.nonce === nonce ? stored.value : undefined;
	}

	#note(stored: StoredObject | undefined): void {
		const version = stored?.version ?? 0;
		if (this.#seen?.version !== version) {
			this.#seen = {version, sinceMs: this.#deps.clock.now(), record: stored ? parseRecord(stored) : undefined};
		}
	}

	#count(event: string): void {
		this.#deps.telemetry.count('lease_changes_total', {lease: this.#key, event});
		this.#deps.telemetry.log('lease changed', {lease: this.#key, event, fencing: this.#fencing});
	}
}

function parseRecord(stored: StoredObject): LeaseRecord | undefined {
	const parsed = recordSchema.safeParse(JSON.parse(stored.value));
	return parsed.success ? parsed.data : undefined;
}
