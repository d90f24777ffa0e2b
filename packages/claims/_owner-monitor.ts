/** Detects claims whose owner no longer runs the request. */
import type {ClaimOwner, ClaimRecord} from './record.ts';
import type {Clock} from '#clock';

/** Returns whether the process of a claim's owner is believed to be live. */
export type IsLive = (owner: ClaimOwner) => boolean;

/** Time past a request's deadline after which its claim counts as orphaned even if its owner is live, in milliseconds. */
const graceMs = 60_000;
const maxMissingOwners = 1024;

/**
 * Tracks since when owners have been missing. A live owner can count as gone,
 * for example in a network partition. A peer then marks the claim unknown while
 * the request still runs, and the owner overwrites this record with the final
 * record when the answer is complete.
 */
export class OwnerMonitor {
	readonly #clock: Clock;
	readonly #isLive: IsLive;
	readonly #ownerTimeoutMs: number;
	readonly #missingSinceMs = new Map<string, number>();

	/** @param ownerTimeoutMs time for which an owner must be missing before it counts as gone, in milliseconds */
	constructor(clock: Clock, isLive: IsLive, ownerTimeoutMs: number) {
		this.#clock = clock;
		this.#isLive = isLive;
		this.#ownerTimeoutMs = ownerTimeoutMs;
	}

	/** Returns whether no instance runs the claim's request any more. */
	isOrphaned(record: ClaimRecord): boolean {
		return this.#clock.getWallTimeMs() > record.endsWallMs + graceMs || this.#isOwnerGone(record.owner);
	}

	#isOwnerGone(owner: ClaimOwner): boolean {
		if (this.#isLive(owner)) {
			this.#missingSinceMs.delete(owner.incarnation);
			return false;
		}

		const nowMs = this.#clock.now();
		const sinceMs = this.#missingSinceMs.get(owner.incarnation);
		if (sinceMs !== undefined) {
			return nowMs - sinceMs >= this.#ownerTimeoutMs;
		}

		this.#evictOldest();
		this.#missingSinceMs.set(owner.incarnation, nowMs);
		return false;
	}

	#evictOldest(): void {
		const [oldest] = this.#missingSinceMs.keys();
		if (oldest !== undefined && this.#missingSinceMs.size >= maxMissingOwners) {
			this.#missingSinceMs.delete(oldest);
		}
	}
}
