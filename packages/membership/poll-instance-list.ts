/** Polls the platform's list of instances and passes the routers' addresses to the membership as seeds. The list lags behind, so it does not decide which instances are live. */
import type {Membership} from './membership.ts';
import type {Clock} from '#clock';
import type {InstanceEntry, ObjectStore} from '#object-store';
import type {Random} from '#core';

/** Dependencies and options of {@link pollInstanceList}. */
export type PollInstanceListDependencies = Readonly<{
	platform: ObjectStore;
	membership: Membership;
	clock: Clock;
	random: Random;
	/** Called with each list that was read successfully. */
	handleInstanceList?: (entries: readonly InstanceEntry[]) => void;
	/** Minimum average time between reads, in milliseconds. Default: 2000. */
	intervalMs?: number;
}>;

/** Maximum rate at which all instances together read the list, per second. */
const fleetReadsPerSecond = 10;

/** Reads the list until `signal` aborts; the time between reads grows with the number of instances, so that all instances together average at most {@link fleetReadsPerSecond}. */
export async function pollInstanceList(dependencies: PollInstanceListDependencies, signal: AbortSignal): Promise<void> {
	const {platform, membership, clock, random, intervalMs = 2000} = dependencies;
	while (!signal.aborted) {
		const entries = await platform.listInstances();
		if (entries.ok) {
			membership.setSeeds(entries.value.filter(({kind}) => kind === 'router').map(({address}) => address));
			dependencies.handleInstanceList?.(entries.value);
		}

		const periodMs = Math.max(intervalMs, membership.listInstances().length * 1000 / fleetReadsPerSecond);
		await clock.sleep(periodMs * (0.75 + (random.next() / 2)), signal);
	}
}
