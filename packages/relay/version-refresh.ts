/**
 * Asks the object store which software versions targets have had until now. What
 * an instance has heard before says nothing about the time since: it may have
 * been cut off or suspended without noticing.
 */
import {SharedRead} from './_shared-read.ts';
import type {VersionsByPool} from './version-record.ts';
import type {Clock} from '#clock';

export type VersionRefreshDependencies = Readonly<{
	clock: Clock;
	/** Brings the list of targets up to date; returns whether the store has answered. */
	refreshTargets: () => Promise<boolean>;
	/** Reads the record of software versions; returns `undefined` if the store does not answer. */
	refreshRecord: () => Promise<VersionsByPool | undefined>;
}>;

/** Maximum time to wait for the store, in milliseconds. */
export const maxRefreshWaitMs = 250;

export class VersionRefresh {
	readonly #reads: SharedRead<VersionsByPool>;

	constructor({clock, refreshTargets, refreshRecord}: VersionRefreshDependencies) {
		this.#reads = new SharedRead(clock, async () => {
			const [areTargetsRefreshed, recorded] = await Promise.all([refreshTargets(), refreshRecord()]);
			return areTargetsRefreshed ? recorded : undefined;
		}, {maxWaitMs: maxRefreshWaitMs});
	}

	/**
	 * Brings the list of targets up to date, by calls to the store that begin after
	 * this one, so that no answer counts that waits to be read since a suspension.
	 *
	 * @returns the versions that the record holds, by pool, or `undefined` if the store has not answered in time
	 */
	async refresh(): Promise<VersionsByPool | undefined> {
		return this.#reads.get();
	}
}
