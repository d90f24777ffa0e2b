/** Reads the platform's lagging list of instances and hands it on. */
import type {Membership} from './membership.ts';
import type {Clock} from '#clock';
import type {InstanceEntry, ObjectStore} from '#object-store';
import type {Random} from '#core';

/** What the reader works with. */
export type FollowListDeps = Readonly<{
	platform: ObjectStore;
	membership: Membership;
	clock: Clock;
	random: Random;
	/** Called with each list that was read. */
	listed?: (entries: readonly InstanceEntry[]) => void;
	/** Shortest time between reads, in milliseconds. Default: 2000. */
	intervalMs?: number;
}>;

/** Reads of the list in a second, over all instances. */
const readsPerSecond = 10;

/** Reads until `signal` aborts, less often as the instances become more. */
export async function followList(deps: FollowListDeps, signal: AbortSignal): Promise<void> {
	const {platform, membership, clock, random, intervalMs = 2000} = deps;
	while (!signal.aborted) {
		const entries = await platform.listInstances();
		if (entries.ok) {
			membership.setSeeds(entries.value.filter(({kind}) => kind === 'router').map(({address}) => address));
			deps.listed?.(entries.value);
		}

		const periodMs = Math.max(intervalMs, membership.listInstances().length * 1000 / readsPerSecond);
		await clock.sleep(periodMs * (0.75 + (random.next() / 2)), signal);
	}
}
