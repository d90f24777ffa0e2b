/** Computes which addresses an instance should be connected to at a given time. */
import {chooseNeighbours} from './choose-neighbours.ts';
import type {MemberRecord, PeerIdentity} from '#peer-protocol';

/** Input of {@link listDesiredAddresses}. */
export type DesiredAddressesQuery = Readonly<{
	self: PeerIdentity;
	/** All member records, including this instance's own. */
	records: readonly MemberRecord[];
	/** Addresses from the settings and the platform's list. */
	seeds: ReadonlySet<string>;
	nowMs: number;
}>;

/** Number of live others and unknown addresses up to which all unknown addresses are listed. */
const maxOthersWithoutRotation = 11;

/** Number of unknown addresses listed in each time slot of a larger fleet. */
const unknownAddressesPerSlot = 3;

/** Number of addresses of gone instances listed in each time slot. */
const goneAddressesPerSlot = 2;

/** Length of a time slot, in milliseconds. */
const slotMs = 10_000;

/**
 * Lists the addresses of the neighbours, some seed addresses at which no live
 * instance is known, and some addresses of gone instances, which may only have
 * been cut off by a partition. The latter two rotate, so that each is dialled
 * occasionally; a small fleet lists all unknown seeds at once.
 */
export function listDesiredAddresses({self, records, seeds, nowMs}: DesiredAddressesQuery): readonly string[] {
	const live = records.filter(({peer, state}) => state !== 'gone' && peer.incarnation !== self.incarnation).map(({peer}) => peer);
	const liveAddresses = new Set([self.address, ...live.map(({address}) => address)]);
	const slot = Math.floor(nowMs / slotMs);
	const unknownAddresses = [...seeds].filter(address => !liveAddresses.has(address));
	const goneAddresses = records.filter(({state, leaving}) => state === 'gone' && !leaving)
		.map(({peer}) => peer.address).filter(address => !liveAddresses.has(address) && !seeds.has(address));
	const isSmallFleet = unknownAddresses.length + live.length <= maxOthersWithoutRotation;
	return [
		...chooseNeighbours(self, live).map(({address}) => address),
		...(isSmallFleet ? unknownAddresses : rotate(unknownAddresses, slot, unknownAddressesPerSlot)),
		...rotate([...new Set(goneAddresses)], slot, goneAddressesPerSlot),
	];
}

/** Returns up to `count` items; each time slot continues where the slot before it stopped. */
function rotate<Item>(items: readonly Item[], slot: number, count: number): readonly Item[] {
	const start = items.length === 0 ? 0 : (slot * count) % items.length;
	return [...items.slice(start), ...items.slice(0, start)].slice(0, count);
}
