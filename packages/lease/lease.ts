/**
 * A lease that is stored as an object in the platform's object store. The
 * object names the holder and a fencing token that increases with each new
 * holder. Wall clocks are not compared: the holder measures its term from just
 * before its last renewal, and a candidate measures it from when it first
 * observed the object's current version. A lease therefore never expires for a
 * candidate before it expires for its holder (Gray and Cheriton, "Leases",
 * 1989).
 *
 * A store that comes back from an older copy has lost the newest terms. The next
 * token is therefore above every one that the store, this instance, its peers or a
 * target have seen, and its high part is the epoch of the store, which has then
 * risen, as in the ids of ZooKeeper's transactions. A lease that is free only in
 * the copy is acquired after a term and the guard time.
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
	/** Epoch of the store at that time. */
	epoch: number | undefined;
	/** Whether the store came back from an older copy since the observation before, so that a newer term may be lost. */
	isRestored: boolean;
}>;

const renewalsPerTerm = 3;

/** Factor of the epoch of the store in a fencing token. */
const epochFactor = 65_536;

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
	/** Highest fencing token that is known to have been given. */
	#highestFencing = 0;
	/** Epoch of the store at the last observation, or when this instance first knew it. */
	#epoch: number | undefined;
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

	/** Highest fencing token that this instance has seen, its own or another's; 0 before the first. */
	get highestFencing(): number {
		return this.#highestFencing;
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
		return this.isHeld || this.#observation?.record?.holder === this.#dependencies.holder;
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
		if (this.isHeld) {
			await this.#renew();
			return;
		}

		if (!isCandidate) {
			return;
		}

		const stored = await this.#dependencies.platform.get(this.#key);
		if (!stored.ok) {
			return;
		}

		this.#recordObservation(stored.value);
		const observation = this.#observation!;
		if (this.#canAcquire(observation)) {
			await this.#write(observation, this.#computeNextFencing());
		}
	}

	/** Reads who holds the lease; the wait for its expiry begins with the first read of a version. */
	async observe(): Promise<void> {
		const stored = await this.#dependencies.platform.get(this.#key);
		if (stored.ok) {
			this.#recordObservation(stored.value);
		}
	}

	/** Records a fencing token that a peer or a target has seen. */
	recordFencing(fencing: number): void {
		this.#highestFencing = Math.max(this.#highestFencing, fencing);
	}

	/** Reads the lease if the store has come back from an older copy since it was last read: the wait for the end of a term that the store has lost begins then. */
	async checkEpoch(): Promise<void> {
		const epoch = this.#dependencies.platform.getEpoch?.();
		const isChanged = this.#epoch !== undefined && epoch !== this.#epoch;
		this.#epoch ??= epoch;
		if (isChanged) {
			await this.observe();
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

		const observation = this.#observation;
		this.#validUntilMs = -Infinity;
		this.#observation = undefined;
		if (!observation) {
			return;
		}

		const record: LeaseRecord = {holder: '', fencing: this.#highestFencing, nonce: this.#dependencies.random.createId()};
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

	/**
	 * Determines whether the lease is free. A term of an earlier process of this
	 * instance ended with that process, so the lease can be acquired at once. If the
	 * store has lost a term, its holder may still use it.
	 */
	#canAcquire({record, observedMs, isRestored}: Observation): boolean {
		if (this.#dependencies.clock.now() - observedMs >= this.termMs + this.guardMs) {
			return true;
		}

		const isLost = isRestored || (record?.fencing ?? 0) < this.#highestFencing;
		return !isLost && (!record || record.holder === '' || record.holder === this.#dependencies.holder);
	}

	/** Computes the token of a new holder: above all that are known, and above all of earlier epochs of the store. */
	#computeNextFencing(): number {
		const floor = (this.#dependencies.platform.getEpoch?.() ?? 0) * epochFactor;
		return Math.max(this.#highestFencing, Number.isSafeInteger(floor) ? floor : 0) + 1;
	}

	/** Renews the lease; if the store has lost the last write of this holder, writes it again unless another instance has acquired the lease. */
	async #renew(): Promise<void> {
		const {platform, holder} = this.#dependencies;
		const known = this.#observation;
		if (known?.record?.holder === holder && known.record.fencing === this.#fencing && known.epoch === platform.getEpoch?.()) {
			await this.#write(known, this.#fencing);
			return;
		}

		const stored = await platform.get(this.#key);
		if (!stored.ok) {
			return;
		}

		this.#recordObservation(stored.value);
		const observation = this.#observation!;
		if ((observation.record?.fencing ?? 0) > this.#fencing) {
			this.invalidate();
		} else if (this.isHeld) {
			await this.#write(observation, this.#fencing);
		}
	}

	async #write(observation: Observation, fencing: number): Promise<void> {
		const {platform, clock, random, holder} = this.#dependencies;
		const nonce = random.createId();
		const writeStartMs = clock.now();
		const wasHeld = this.isHeld;
		const put = await platform.put(this.#key, JSON.stringify({holder, fencing, nonce}), {ifVersion: observation.version});
		// After a change of the epoch, a write that has taken effect is found by the next read.
		const isEpochChanged = !put.ok && put.error.kind === 'epoch_changed';
		const stored = put.ok ? put.value : await (isEpochChanged ? undefined : this.#readOwnWrite(nonce));
		if (stored) {
			this.#observation = {
				version: stored.version, observedMs: clock.now(), record: {holder, fencing, nonce}, epoch: platform.getEpoch?.(), isRestored: false,
			};
			this.#fencing = fencing;
			this.recordFencing(fencing);
			this.#validUntilMs = writeStartMs + this.termMs;
			if (!wasHeld) {
				this.#recordChange('taken');
			}
		} else if (isEpochChanged) {
			this.#observation = undefined;
		} else if (!put.ok && put.error.kind === 'conflict') {
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
		const {clock, platform} = this.#dependencies;
		const version = stored?.version ?? 0;
		const epoch = platform.getEpoch?.();
		if (this.#observation?.version !== version || this.#observation.epoch !== epoch) {
			this.#observation = {
				version, observedMs: clock.now(), record: stored ? parseRecord(stored) : undefined, epoch, isRestored: this.#epoch !== undefined && epoch !== this.#epoch,
			};
		}

		this.#epoch = epoch;
		this.recordFencing(this.#observation.record?.fencing ?? 0);
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
