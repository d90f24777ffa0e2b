/**
 * Asks the object store which software versions targets have had until now. What
 * an instance has heard before says nothing about the time since: it may have
 * been cut off or suspended without noticing.
 */
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
	readonly #dependencies: VersionRefreshDependencies;
	#current: Promise<VersionsByPool | undefined> | undefined;
	/** Begins when the current one has ended, for callers that came after its begin. */
	#next: Promise<VersionsByPool | undefined> | undefined;

	constructor(dependencies: VersionRefreshDependencies) {
		this.#dependencies = dependencies;
	}

	/**
	 * Brings the list of targets up to date, by calls to the store that begin after
	 * this one, so that no answer counts that waits to be read since a suspension.
	 *
	 * @returns the versions that the record holds, by pool, or `undefined` if the store has not answered in time
	 */
	async refresh(): Promise<VersionsByPool | undefined> {
		const {clock} = this.#dependencies;
		return new Promise(resolve => {
			const cancel = clock.setTimer(maxRefreshWaitMs, () => {
				resolve(undefined);
			});
			void this.#start().then(versions => {
				cancel();
				resolve(versions);
			});
		});
	}

	async #start(): Promise<VersionsByPool | undefined> {
		if (!this.#current) {
			this.#current = this.#read();
			return this.#current;
		}

		this.#next ??= this.#current.then(async () => {
			this.#next = undefined;
			this.#current = this.#read();
			return this.#current;
		});
		return this.#next;
	}

	async #read(): Promise<VersionsByPool | undefined> {
		const {refreshTargets, refreshRecord} = this.#dependencies;
		const [areTargetsRefreshed, recorded] = await Promise.all([refreshTargets(), refreshRecord()]);
		this.#current = undefined;
		return areTargetsRefreshed ? recorded : undefined;
	}
}
