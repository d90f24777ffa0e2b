/** Reads load reports and cache events of all configured targets, one task per target. */
import type {Clock} from '#clock';
import type {ConfigurationStore} from '#configuration';
import {waitForAbort, type Target, type TargetPool} from '#core';
import type {TargetLinks} from '#dispatch';
import type {TargetViews} from '#placement';
import type {Telemetry} from '#telemetry';

/** What the readers work with. */
export type PollDeps = Readonly<{
	configuration: ConfigurationStore;
	views: TargetViews;
	links: TargetLinks;
	clock: Clock;
	telemetry: Telemetry;
	/** Time between reads of one target, in milliseconds. */
	pollMs: number;
	/** Called when a target's report was taken in. */
	reported: (target: string) => void;
}>;

const readTimeoutMs = 1000;

/** Runs until `signal` aborts, starting and ending readers as the configuration changes. */
export async function pollTargets(deps: PollDeps, signal: AbortSignal): Promise<void> {
	const readers = new Map<string, AbortController>();
	const follow = () => {
		const wanted = new Map<string, readonly [TargetPool, Target]>();
		for (const pool of deps.configuration.current?.pools.values() ?? []) {
			for (const target of pool.targets) {
				wanted.set(`${target.name}@${target.address}`, [pool, target]);
			}
		}

		for (const [key, controller] of readers) {
			if (!wanted.has(key)) {
				controller.abort();
				readers.delete(key);
			}
		}

		for (const [key, [pool, target]] of wanted) {
			if (!readers.has(key)) {
				const controller = new AbortController();
				readers.set(key, controller);
				void readTarget(deps, pool, target, controller.signal);
			}
		}
	};

	const unsubscribe = deps.configuration.events.on('changed', follow);
	follow();
	await waitForAbort(signal);
	unsubscribe();
	for (const controller of readers.values()) {
		controller.abort();
	}
}

async function readTarget(deps: PollDeps, pool: TargetPool, target: Target, signal: AbortSignal): Promise<void> {
	const {
		views, links, clock, telemetry, pollMs,
	} = deps;
	const link = links.get(pool, target);
	while (!signal.aborted) {
		const limit = new AbortController();
		const cancel = clock.after(readTimeoutMs, () => {
			limit.abort();
		});
		const limited = AbortSignal.any([signal, limit.signal]);
		const report = await link.readReport(limited);
		if (report.ok) {
			views.applyReport(target.name, report.value, clock.now());
			deps.reported(target.name);
		} else if (report.error.outcome === 'notSent') {
			views.markUnreachable(target.name);
		}

		if (report.ok && pool.kind === 'engine') {
			const batch = await link.readCacheEvents(views.getSequence(target.name), limited);
			if (batch.ok && views.applyEvents(target.name, batch.value)) {
				telemetry.count('cache_event_gaps_total', {pool: pool.name});
			}
		}

		cancel();
		await clock.sleep(pollMs, signal);
	}
}
