/**
 * A lease that is stored as an object in the platform's object store. The
 * object names the holder and a fencing token that increases with each new
 * holder. Wall clocks are not compared: the holder measures its term from just
 * before its last renewal, and a candidate measures it from when it first
 * observed the object's current version. A lease therefore never expires for a
 * candidate before it expires for its holder (Gray and Cheriton, "Leases",
 * 1989).
 */
import * as z from 'zod';
import type {Clock} from '#clock';
import type {Random} from '#core';
import type {ObjectStore, StoredObject} from '#object-store';
import type {Telemetry} from '#telemetry';

/** Dependencies of {@link Lease}. */
export type LeaseDependencies = Readonly<{
	platform: ObjectStore;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	/** Name of this instance; no other process uses it while this one runs. */
	holder: string;
}>;

/** Options of {@link Lease}. */
export type LeaseOptions = Readonly<{
	/** Length of a term, in milliseconds. Default: 6000. */
	termMs?: number;
	/** Time that a successor waits beyond the term, in milliseconds. Default: 2000. */
	guardMs?: number;
	/** Kind of the lease's object, the first part of its key. Default: `leases`. */
	kind?: string;
}>;

const recordSchema = z.object({
	holder: z.string(),
	fencing: z.number().int().min(1),
	/** Identifies a write, so that one whose response was lost can be recognised. */
	nonce: z.string(),
});

type LeaseRecord = z.infer<typeof recordSchema>;
/** The last observed state of the lease's object. */
type Observation = Readonly<{
	/** Version of the object; 0 if it does not exist. */
	version: number;
	/** Time at which this version was first observed, on this instance's monotonic clock. */
	observedMs: number;
	record: LeaseRecord | undefined;
}>;

const renewalsPerTerm = 3;

/** A time-limited right that at most one instance holds. */
export class Lease {
	/** Time that a successor waits beyond the term, in milliseconds. */
	readonly guardMs: number;
	/** Length of a term, in milliseconds. */
	readonly termMs: number;
	readonly #dependencies: LeaseDependencies;
	readonly #key: string;
	#observation: Observation | undefined;
	#fencing = 0;
	#validUntilMs = -Infinity;

	/** @param name key of the lease below its kind */
	constructor(name: string, dependencies: LeaseDependencies, options: LeaseOptions = {}) {
		this.#dependencies = dependencies;
		this.#key = `${options.kind ?? 'leases'}/${name}`;
		this.termMs = options.termMs ?? 6000;
		this.guardMs = options.guardMs ?? 2000;
	}

	/** Fencing token of the current or last term; 0 before the first. */
	get fencing(): number {
		return this.#fencing;
	}

	/** Remaining time of the term on this instance's monotonic clock, in milliseconds; negative once it has expired. */
	get remainingMs(): number {
		return this.#validUntilMs - this.#dependencies.clock.now();
	}

	/** Whether this instance holds the lease now. */
	get isHeld(): boolean {
		return this.remainingMs > 0;
	}

	/** Whether the lease's object has been observed, so that its last holder, if any, is known. */
	get isHolderKnown(): boolean {
		return this.#observation !== undefined;
	}

	/** Whether this instance is the last known holder, even if its term has expired. */
	get isLastHolder(): boolean {
		return this.#observation?.record?.holder === this.#dependencies.holder;
	}

	/** Time between calls of {@link Lease.refresh}, in milliseconds. */
	get refreshIntervalMs(): number {
		return this.termMs / renewalsPerTerm;
	}

	/**
	 * Renews the lease if it is held, or acquires it if it has expired.
	 *
	 * @param isCandidate whether this instance should acquire an expired lease
	 */
	async refresh(isCandidate: boolean): Promise<void> {
		const isHolder = this.isLastHolder && this.isHeld;
		if (!isHolder && !isCandidate) {
			return;
		}

		if (isHolder) {
			await this.#write(this.#observation!, this.#fencing);
			return;
		}

		const stored = await this.#dependencies.platform.get(this.#key);
		if (!stored.ok) {
			return;
		}

		this.#recordObservation(stored.value);
		const observation = this.#observation!;
		if (this.#canAcquire(observation)) {
			await this.#write(observation, (observation.record?.fencing ?? 0) + 1);
		}
	}

	/** Reads who holds the lease; the wait for its expiry begins with the first read of a version. */
	async observe(): Promise<void> {
		const stored = await this.#dependencies.platform.get(this.#key);
		if (stored.ok) {
			this.#recordObservation(stored.value);
		}
	}

	/**
	 * Releases the lease, so that a successor need not wait. Also releases a lease
	 * whose term has expired, if no other instance has acquired it. The caller makes
	 * sure that no order sent under the lease is still in transit.
	 */
	async release(): Promise<void> {
		if (!this.isLastHolder) {
			return;
		}

		const observation = this.#observation!;
		this.#validUntilMs = -Infinity;
		this.#observation = undefined;
		const record: LeaseRecord = {holder: '', fencing: this.#fencing, nonce: this.#dependencies.random.createId()};
		const put = await this.#dependencies.platform.put(this.#key, JSON.stringify(record), {ifVersion: observation.version});
		this.#recordChange(put.ok ? 'released' : 'not_released');
	}

	/** Treats the lease as lost at once, for example after a target has reported a newer fencing token. */
	invalidate(): void {
		if (this.isHeld) {
			this.#recordChange('superseded');
		}

		this.#validUntilMs = -Infinity;
		this.#observation = undefined;
	}

	/** Determines whether the lease is free. A term of an earlier process of this instance ended with that process, so the lease can be acquired at once. */
	#canAcquire(observation: Observation): boolean {
		if (!observation.record || observation.record.holder === '' || observation.record.holder === this.#dependencies.holder) {
			return true;
		}

		return this.#dependencies.clock.now() - observation.observedMs >= this.termMs + this.guardMs;
	}

	async #write(observation: Observation, fencing: number): Promise<void> {
		const {platform, clock, random, holder} = this.#dependencies;
		const nonce = random.createId();
		const writeStartMs = clock.now();
		const wasHeld = this.isHeld;
		const put = await platform.put(this.#key, JSON.stringify({holder, fencing, nonce}), {ifVersion: observation.version});
		const stored = put.ok ? put.value : await this.#readOwnWrite(nonce);
		if (stored) {
			this.#observation = {version: stored.version, observedMs: clock.now(), record: {holder, fencing, nonce}};
			this.#fencing = fencing;
			this.#validUntilMs = writeStartMs + this.termMs;
			if (!wasHeld) {
				this.#recordChange('taken');
			}
		} else if (!put.ok && (put.error.kind === 'conflict' || put.error.kind === 'epoch_changed')) {
			this.invalidate();
		}
	}

	/** Reads back a write whose response was lost; returns `undefined` if the write did not take effect or the object cannot be read. */
	async #readOwnWrite(nonce: string): Promise<StoredObject | undefined> {
		const stored = await this.#dependencies.platform.get(this.#key);
		if (!stored.ok || !stored.value) {
			return undefined;
		}

		return parseRecord(stored.value)?.nonce === nonce ? stored.value : undefined;
	}

	#recordObservation(stored: StoredObject | undefined): void {
		const version = stored?.version ?? 0;
		if (this.#observation?.version !== version) {
			this.#observation = {version, observedMs: this.#dependencies.clock.now(), record: stored ? parseRecord(stored) : undefined};
		}
	}

	#recordChange(event: string): void {
		this.#dependencies.telemetry.count('lease_changes_total', {lease: this.#key, event});
		this.#dependencies.telemetry.log('lease changed', {lease: this.#key, event, fencing: this.#fencing});
	}
}

function parseRecord(stored: StoredObject): LeaseRecord | undefined {
	const parsed = recordSchema.safeParse(JSON.parse(stored.value));
	return parsed.success ? parsed.data : undefined;
}
