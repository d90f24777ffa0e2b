/** Which addresses an instance wants connections to at a moment. */
import {chooseNeighbours} from './neighbours.ts';
import type {MemberRecord, PeerIdentity} from '#peer-protocol';

/** What the choice is made from. */
export type WantedQuery = Readonly<{
	self: PeerIdentity;
	/** The whole table, this instance's own record among it. */
	records: readonly MemberRecord[];
	/** Addresses from the settings and the platform's list. */
	seeds: ReadonlySet<string>;
	nowMs: number;
}>;

const fewOthers = 11;
const strangersAtOnce = 3;
const goneAtOnce = 2;
const slotMs = 10_000;

/** Neighbours, and a few addresses of instances that are unknown or were given up, changing with time. */
export function listWanted({self, records, seeds, nowMs}: WantedQuery): readonly string[] {
	const live = records.filter(({peer, state}) => state !== 'gone' && peer.incarnation !== self.incarnation).map(({peer}) => peer);
	const liveAddresses = new Set([self.address, ...live.map(({address}) => address)]);
	const slot = Math.floor(nowMs / slotMs);
	const strangers = [...seeds].filter(address => !liveAddresses.has(address));
	const gone = records.filter(({state, leaving}) => state === 'gone' && !leaving)
		.map(({peer}) => peer.address).filter(address => !liveAddresses.has(address) && !seeds.has(address));
	const few = strangers.length + live.length <= fewOthers;
	return [
		...chooseNeighbours(self, live).map(({address}) => address),
		...(few ? strangers : rotate(strangers, slot, strangersAtOnce)),
		...rotate([...new Set(gone)], slot, goneAtOnce),
	];
}

/** Takes `count` items in turn, others in each slot. */
function rotate<Item>(items: readonly Item[], slot: number, count: number): readonly Item[] {
	const start = items.length === 0 ? 0 : (slot * count) % items.length;
	return [...items.slice(start), ...items.slice(0, start)].slice(0, count);
}
