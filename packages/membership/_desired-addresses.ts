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

/** Maximum number of live other instances and unmatched seeds together at which all unmatched seeds are listed in every time slot. */
const maxOthersWithoutRotation = 11;

/** Number of unmatched seeds listed in each time slot of a larger fleet. */
const unmatchedSeedsPerSlot = 3;

/** Number of addresses of gone instances listed in each time slot. */
const goneAddressesPerSlot = 2;

/** Length of a time slot, in milliseconds. */
const slotMs = 10_000;

/**
 * Lists the addresses of the neighbours, some unmatched seeds (seed addresses at
 * which no live instance is known), and some addresses of gone instances, which
 * may only have been cut off by a partition; instances that announced that they
 * were leaving are not among these. Unmatched seeds and addresses of gone
 * instances rotate, so that each is dialled occasionally; a small fleet lists
 * all unmatched seeds in every time slot.
 */
export function listDesiredAddresses({self, records, seeds, nowMs}: DesiredAddressesQuery): readonly string[] {
	const live = records.filter(({peer, state}) => state !== 'gone' && peer.incarnation !== self.incarnation).map(({peer}) => peer);
	const liveAddresses = new Set([self.address, ...live.map(({address}) => address)]);
	const slot = Math.floor(nowMs / slotMs);
	const unmatchedSeeds = [...seeds].filter(address => !liveAddresses.has(address));
	const goneAddresses = records.filter(({state, leaving}) => state === 'gone' && !leaving)
		.map(({peer}) => peer.address).filter(address => !liveAddresses.has(address) && !seeds.has(address));
	const isSmallFleet = unmatchedSeeds.length + live.length <= maxOthersWithoutRotation;
	return [
		...chooseNeighbours(self, live).map(({address}) => address),
		...(isSmallFleet ? unmatchedSeeds : rotate(unmatchedSeeds, slot, unmatchedSeedsPerSlot)),
		...rotate([...new Set(goneAddresses)], slot, goneAddressesPerSlot),
	];
}

/** Returns up to `count` items; each time slot continues where the slot before it stopped. */
function rotate<Item>(items: readonly Item[], slot: number, count: number): readonly Item[] {
	const start = items.length === 0 ? 0 : (slot * count) % items.length;
	return [...items.slice(start), ...items.slice(0, start)].slice(0, count);
}
