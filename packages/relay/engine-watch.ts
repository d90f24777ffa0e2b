/**
 * Reads the engines' cache events, which also shows whether the engines are
 * alive. Each engine is assigned to one instance, which alone reads its events
 * and notifies the other instances of its silence and of evicted parts.
 */
import type {CachedParts} from './cached-parts.ts';
import type {TargetReach} from './target-reach.ts';
import type {TargetSet} from './target-set.ts';
import type {TargetState} from './target-state.ts';
import {waitForTick, type Clock} from '#clock';
import type {RelayTarget} from '#core';
import type {PeerBus} from '#peer-protocol';
import {recordEscapedError, type Telemetry} from '#telemetry';

/** A part of a prompt that was stored in an engine's cache or evicted from it. */
export type PartCacheEvent = Readonly<{isStored: boolean; scope: string; part: string}>;

/** Events of an engine's cache since a sequence number. */
export type PartCacheEventBatch = Readonly<{
	/** Identifies the run of the engine's process; changes with each restart. */
	epoch: string;
	/** Sequence number from which the next read starts. */
	next: number;
	/** Whether the engine no longer had some of the requested events. */
	isGap: boolean;
	events: readonly PartCacheEvent[];
}>;

/** Reads an engine's cache events from a sequence number on; returns `undefined` if the engine did not answer in time. */
export type ReadPartCacheEvents = (target: RelayTarget, since: number) => Promise<PartCacheEventBatch | undefined>;

export type EngineWatchDependencies = Readonly<{
	clock: Clock;
	telemetry: Telemetry;
	targets: TargetSet;
	cachedParts: CachedParts;
	bus: PeerBus;
	readEvents: ReadPartCacheEvents;
	targetReach: Pick<TargetReach, 'checkTargetFailure'>;
	/** Whether this instance reads the events of an engine. */
	isReader: (target: RelayTarget) => boolean;
}>;

/** Interval between reads of one engine, in milliseconds; a silent engine is detected within twice that time. */
const readIntervalMs = 250;

/** Interval at which this instance updates the set of engines that it reads, in milliseconds. */
const assignmentIntervalMs = 500;

/** Time for which a silent engine is avoided, in milliseconds; renewed while it stays silent. */
const suspectMs = 1000;

/** Time for which peers' reports of a silent engine are ignored after this instance itself received something from the engine, in milliseconds. */
const ownObservationMs = 400;

/** Interval at which peers are notified again of a silent engine, in milliseconds: less than the time for which they avoid it. */
const renotifyIntervalMs = 500;

/** Maximum number of keys in one message about evicted parts; the rest is not sent. */
const maxEvictedKeys = 256;

/** Watches the engines until `signal` aborts. */
export async function watchEngines(dependencies: EngineWatchDependencies, signal: AbortSignal): Promise<void> {
	const {clock, targets, bus} = dependencies;
	const readers = new Map<string, AbortController>();
	const unsubscribeSilent = bus.subscribe('silent', ({incarnation}) => {
		const state = targets.findByIncarnation(incarnation);
		if (state && clock.now() - state.lastReceivedMs > ownObservationMs) {
			state.suspect(clock.now() + suspectMs);
		}
	});
	const unsubscribeEvicted = bus.subscribe('evicted', ({incarnation, keys}) => {
		for (const key of keys) {
			dependencies.cachedParts.remove(key, incarnation);
		}
	});
	try {
		while (!signal.aborted) {
			const assigned = new Map(targets.list().filter(({target}) => target.weights.size > 0 && !target.isDraining && dependencies.isReader(target))
				.map(state => [state.target.incarnation, state]));
			for (const [incarnation, controller] of readers) {
				if (!assigned.has(incarnation)) {
					controller.abort();
					readers.delete(incarnation);
				}
			}

			for (const [incarnation, state] of assigned) {
				if (!readers.has(incarnation)) {
					const controller = new AbortController();
					readers.set(incarnation, controller);
					void readEngine(dependencies, state, controller.signal).catch((error: unknown) => {
						// The next assignment starts the reader again.
						recordEscapedError(dependencies.telemetry, 'engine_watch', error, {target: state.target.id});
						readers.delete(incarnation);
					});
				}
			}

			await waitForTick(clock, assignmentIntervalMs, signal);
		}
	} finally {
		unsubscribeSilent();
		unsubscribeEvicted();
		for (const controller of readers.values()) {
			controller.abort();
		}
	}
}

/** Reads the events of one engine until `signal` aborts. */
async function readEngine(dependencies: EngineWatchDependencies, state: TargetState, signal: AbortSignal): Promise<void> {
	const {clock, telemetry, bus, readEvents, targetReach} = dependencies;
	const {id, incarnation} = state.target;
	let since = 0;
	let epoch = '';
	let isSilent = false;
	let notifiedMs = Number.NEGATIVE_INFINITY;
	while (!signal.aborted) {
		const startedMs = clock.now();
		const batch = await readEvents(state.target, since);
		if (signal.aborted) {
			return;
		}

		const isResponsive = batch !== undefined || state.lastReceivedMs > startedMs;
		// The state has changed since the last read.
		if (isResponsive === isSilent) {
			isSilent = !isResponsive;
			telemetry.log(isSilent ? 'engine does not answer' : 'engine answers again', {target: id});
		}

		if (!isResponsive) {
			state.suspect(clock.now() + suspectMs);
			// The other instances are not told of an engine that only this one does not reach.
			if (clock.now() - notifiedMs >= renotifyIntervalMs && await targetReach.checkTargetFailure(state)) {
				notifiedMs = clock.now();
				bus.broadcast({kind: 'silent', incarnation});
			}
		}

		if (batch) {
			state.lastReceivedMs = clock.now();
			state.clearSuspicion();
			applyEvents(dependencies, incarnation, batch);
			// A restarted engine has a new cache and numbers its events from the beginning.
			since = epoch === '' || epoch === batch.epoch ? batch.next : 0;
			({epoch} = batch);
		}

		await clock.sleep(Math.max(0, startedMs + readIntervalMs - clock.now()), signal);
	}
}

function applyEvents({cachedParts, bus, clock}: EngineWatchDependencies, incarnation: string, {events}: PartCacheEventBatch): void {
	const evicted: string[] = [];
	for (const {isStored, scope, part} of events) {
		const key = `${scope}/${part}`;
		if (isStored) {
			cachedParts.recordIfKnown(key, incarnation, clock.now());
		} else if (cachedParts.has(key, incarnation, clock.now())) {
			cachedParts.remove(key, incarnation);
			evicted.push(key);
		}
	}

	if (evicted.length > 0) {
		bus.sendToSample({kind: 'evicted', incarnation, keys: evicted.slice(0, maxEvictedKeys)});
	}
}
