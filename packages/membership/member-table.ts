/**
 * What an instance knows of all instances. Records merge by a rule that is
 * commutative, associative and idempotent, so tables that heard the same
 * records agree, in whatever order they came. The states and the refutation
 * follow SWIM (Das, Gupta, Motivala 2002).
 */
import {createHash} from 'node:crypto';
import type {MemberRecord, PeerIdentity} from '#peer-protocol';

const stateRanks = {live: 0, suspect: 1, gone: 2} as const;
const digestLength = 16;

/** Merges two records of one incarnation: the higher version wins, then the worse state; leaving stays. */
export function mergeRecords(a: MemberRecord, b: MemberRecord): MemberRecord {
	const isNewer = b.version > a.version || (b.version === a.version && stateRanks[b.state] > stateRanks[a.state]);
	const winner = isNewer ? b : a;
	return {
		peer: a.peer, version: winner.version, state: winner.state, leaving: a.leaving || b.leaving,
	};
}

type Entry = Readonly<{record: MemberRecord; changedMs: number}>;

/** Records by incarnation. */
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

	/** This instance's own record. */
	get own(): MemberRecord {
		return this.#entries.get(this.#self.incarnation)!.record;
	}

	get(incarnation: string): MemberRecord | undefined {
		return this.#entries.get(incarnation)?.record;
	}

	/** All records, this instance's own among them. */
	list(): readonly MemberRecord[] {
		return [...this.#entries.values()].map(({record}) => record);
	}

	/** Digest of the records that are not gone; equal tables have equal digests. */
	get digest(): string {
		this.#digest ??= computeDigest(this.list());
		return this.#digest;
	}

	/**
	 * Merges a record.
	 *
	 * @returns the record as it now stands, if that is news; a claim that this instance is suspect or gone is refuted
	 */
	apply(heard: MemberRecord, nowMs: number): MemberRecord | undefined {
		const {incarnation} = heard.peer;
		const known = this.#entries.get(incarnation)?.record;
		let merged = known ? mergeRecords(known, heard) : heard;
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

	/** Forgets instances that have been gone since before `beforeMs`. */
	prune(beforeMs: number): void {
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
