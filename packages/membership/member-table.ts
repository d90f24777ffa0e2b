/**
 * The member records that an instance holds of all instances. Records merge by
 * a rule that is commutative, associative and idempotent, so tables that have
 * received the same records are equal, in whatever order the records arrived. The
 * states and the refutation follow SWIM (Das, Gupta, Motivala 2002).
 */
import {createHash} from 'node:crypto';
import type {MemberRecord, PeerIdentity} from '#peer-protocol';

const stateRanks = {live: 0, suspect: 1, gone: 2} as const;
const digestLength = 16;

/** Merges two records of one incarnation: the higher version wins, then the worse state (gone, then suspect, then live); `leaving` is never reset. */
export function mergeRecords(a: MemberRecord, b: MemberRecord): MemberRecord {
	const isNewer = b.version > a.version || (b.version === a.version && stateRanks[b.state] > stateRanks[a.state]);
	const winner = isNewer ? b : a;
	return {
		peer: a.peer, version: winner.version, state: winner.state, leaving: a.leaving || b.leaving,
	};
}

type Entry = Readonly<{record: MemberRecord; changedMs: number}>;

/** Member records by incarnation. */
export class MemberTable {
	readonly #entries = new Map<string, Entry>();
	readonly #self: PeerIdentity;
	#digest: string | undefined;

	constructor(self: PeerIdentity) {
		this.#self = self;
		this.#entries.set(self.incarnation, {
			record: {
				peer: self, version: 0, state: 'live', leaving: false,
			}, changedMs: 0,
		});
	}

	get size(): number {
		return this.#entries.size;
	}

	get ownRecord(): MemberRecord {
		return this.#entries.get(this.#self.incarnation)!.record;
	}

	get(incarnation: string): MemberRecord | undefined {
		return this.#entries.get(incarnation)?.record;
	}

	/** Lists all records, including this instance's own. */
	list(): readonly MemberRecord[] {
		return [...this.#entries.values()].map(({record}) => record);
	}

	/** Digest of the records that are not gone; tables that agree on these have equal digests. */
	get digest(): string {
		this.#digest ??= computeDigest(this.list());
		return this.#digest;
	}

	/**
	 * Merges a record. A record that reports this instance as suspect or gone is
	 * refuted: its own record becomes live with a higher version.
	 *
	 * @returns the merged record if it differs from the previous one, otherwise `undefined`
	 */
	apply(received: MemberRecord, nowMs: number): MemberRecord | undefined {
		const {incarnation} = received.peer;
		const known = this.#entries.get(incarnation)?.record;
		let merged = known ? mergeRecords(known, received) : received;
		if (incarnation === this.#self.incarnation && merged.state !== 'live' && known?.state === 'live') {
			merged = {...merged, state: 'live', version: merged.version + 1};
		}

		if (known && isSame(known, merged)) {
			return undefined;
		}

		this.#entries.set(incarnation, {record: merged, changedMs: nowMs});
		this.#digest = undefined;
		return merged;
	}

	/** Removes the records of instances that have been gone since before `beforeMs`. */
	expireGone(beforeMs: number): void {
		for (const [incarnation, {record, changedMs}] of this.#entries) {
			if (record.state === 'gone' && changedMs < beforeMs && incarnation !== this.#self.incarnation) {
				this.#entries.delete(incarnation);
			}
		}
	}
}

function isSame(a: MemberRecord, b: MemberRecord): boolean {
	return a.version === b.version && a.state === b.state && a.leaving === b.leaving;
}

function computeDigest(records: readonly MemberRecord[]): string {
	const lines = records.filter(({state}) => state !== 'gone')
		.map(({peer, version, state, leaving}) => `${peer.incarnation} ${version} ${state} ${leaving}`)
		.toSorted((a, b) => a < b ? -1 : 1);
	return createHash('sha256').update(lines.join('\n')).digest('hex').slice(0, digestLength);
}
