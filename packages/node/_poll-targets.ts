/** Polls the load reports of all configured targets, and the cache events of engines, with one task per target. */
import type {Clock} from '#clock';
import type {ConfigurationStore} from '#configuration';
import {waitForAbort, type Target, type TargetPool} from '#core';
import type {TargetLinks} from '#dispatch';
import type {TargetViews} from '#placement';
import type {Telemetry} from '#telemetry';

/** Dependencies of {@link pollTargets}. */
export type PollTargetsDependencies = Readonly<{
	configuration: ConfigurationStore;
	views: TargetViews;
	links: TargetLinks;
	clock: Clock;
	telemetry: Telemetry;
	/** Time between polls of one target, in milliseconds. */
	pollIntervalMs: number;
	/** Called with the name of a target after its report has been applied. */
	handleReport: (target: string) => void;
}>;

/** Maximum time for both reads of one poll, in milliseconds. */
const readTimeoutMs = 1000;

/** Polls until `signal` aborts. Starts and stops the tasks of targets as the configuration changes. */
export async function pollTargets(dependencies: PollTargetsDependencies, signal: AbortSignal): Promise<void> {
	const pollers = new Map<string, AbortController>();
	const updatePollers = () => {
		const desired = new Map<string, readonly [TargetPool, Target]>();
		for (const pool of dependencies.configuration.current?.pools.values() ?? []) {
			for (const target of pool.targets) {
				desired.set(`${target.name}@${target.address}`, [pool, target]);
			}
		}

		for (const [key, controller] of pollers) {
			if (!desired.has(key)) {
				controller.abort();
				pollers.delete(key);
			}
		}

		for (const [key, [pool, target]] of desired) {
			if (!pollers.has(key)) {
				const controller = new AbortController();
				pollers.set(key, controller);
				void pollTarget(dependencies, pool, target, controller.signal);
			}
		}
	};

	const unsubscribe = dependencies.configuration.events.on('changed', updatePollers);
	updatePollers();
	await waitForAbort(signal);
	unsubscribe();
	for (const controller of pollers.values()) {
		controller.abort();
	}
}

async function pollTarget(dependencies: PollTargetsDependencies, pool: TargetPool, target: Target, signal: AbortSignal): Promise<void> {
	const {
		views, links, clock, telemetry, pollIntervalMs,
	} = dependencies;
	const link = links.get(pool, target);
	while (!signal.aborted) {
		const timeoutController = new AbortController();
		const cancelTimeout = clock.setTimer(readTimeoutMs, () => {
			timeoutController.abort();
		});
		const readSignal = AbortSignal.any([signal, timeoutController.signal]);
		const report = await link.readReport(readSignal);
		if (report.ok) {
			views.applyReport(target.name, report.value, clock.now());
			dependencies.handleReport(target.name);
		} else if (report.error.outcome === 'notSent') {
			views.markUnreachable(target.name);
		}

		if (report.ok && pool.kind === 'engine') {
			const batch = await link.readCacheEvents(views.getCacheSequence(target.name), readSignal);
			if (batch.ok && views.applyEvents(target.name, batch.value)) {
				telemetry.count('cache_event_gaps_total', {pool: pool.name});
			}
		}

		cancelTimeout();
		await clock.sleep(pollIntervalMs, signal);
	}
}
