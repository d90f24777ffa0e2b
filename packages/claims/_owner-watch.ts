/** Decides when a claim's owner counts as gone. */
import type {ClaimOwner, ClaimRecord} from './record.ts';
import type {Clock} from '#clock';

/** Whether a peer's process is believed to be live. */
export type IsLive = (owner: ClaimOwner) => boolean;

const graceMs = 60_000;
const maxOwners = 1024;

/**
 * Remembers since when owners are missing. The verdict may be wrong, as when
 * peers are cut off from each other: a claim is then marked unknown while its
 * request still runs, which its owner mends when the answer arrives.
 */
export class OwnerWatch {
	readonly #clock: Clock;
	readonly #isLive: IsLive;
	readonly #goneMs: number;
	readonly #missingSince = new Map<string, number>();

	/** @param goneMs how long an owner must be missing, in milliseconds */
	constructor(clock: Clock, isLive: IsLive, goneMs: number) {
		this.#clock = clock;
		this.#isLive = isLive;
		this.#goneMs = goneMs;
	}

	/** Whether nobody runs the claim's request any more. */
	isOver(record: ClaimRecord): boolean {
		return this.#clock.wall() > record.endsWallMs + graceMs || this.#isGone(record.owner);
	}

	#isGone(owner: ClaimOwner): boolean {
		if (this.#isLive(owner)) {
			this.#missingSince.delete(owner.incarnation);
			return false;
		}

		const now = this.#clock.now();
		const since = this.#missingSince.get(owner.incarnation);
		if (since !== undefined) {
			return now - since >= this.#goneMs;
		}

		this.#forgetOldest();
		this.#missingSince.set(owner.incarnation, now);
		return false;
	}

	#forgetOldest(): void {
		const [oldest] = this.#missingSince.keys();
		if (oldest !== undefined && this.#missingSince.size >= maxOwners) {
			this.#missingSince.delete(oldest);
		}
	}
}
