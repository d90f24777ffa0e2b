/**
 * Follows the engines' cache events, which also shows whether they live. Each
 * engine has one reader among the instances; it tells the others when an
 * engine falls silent and which shared parts were evicted.
 */
import type {PlacedParts} from './placed-parts.ts';
import type {TargetSet} from './target-set.ts';
import type {TargetState} from './target-state.ts';
import type {Clock} from '#clock';
import type {RelayTarget} from '#core';
import type {PeerBus} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

/** A change of an engine's cache. */
export type PartEvent = Readonly<{isStored: boolean; scope: string; part: string}>;

/** Changes of an engine's cache after a number. */
export type PartEvents = Readonly<{
	/** Changes at each start of the engine. */
	epoch: string;
	/** Number after which the next changes are wanted. */
	next: number;
	/** Whether some were lost. */
	isGap: boolean;
	events: readonly PartEvent[];
}>;

/** Reads an engine's cache events; nothing where it did not answer in time. */
export type ReadPartEvents = (target: RelayTarget, since: number) => Promise<PartEvents | undefined>;

/** What the watch works with. */
export type EngineWatchDeps = Readonly<{
	clock: Clock;
	telemetry: Telemetry;
	targets: TargetSet;
	placed: PlacedParts;
	bus: PeerBus;
	readEvents: ReadPartEvents;
	/** Whether this instance is the reader of an engine. */
	isReader: (target: RelayTarget) => boolean;
}>;

/** Time between reads of one engine, in milliseconds: an engine that falls silent is noticed in twice that time. */
const readMs = 250;

/** Time between looks at which engines to read, in milliseconds. */
const lookMs = 500;

/** Time for which an engine is passed over after it was silent, in milliseconds; told again while it stays so. */
const silentMs = 1000;

/** Time within which an own answer from an engine outweighs what a peer says of its silence, in milliseconds. */
const ownWordMs = 400;

/** Time after which the peers are told again that an engine is silent, in milliseconds: before their word lapses. */
const tellAgainMs = 500;

const maxEvicted = 256;

/** Runs until `signal` aborts. */
export async function watchEngines(deps: EngineWatchDeps, signal: AbortSignal): Promise<void> {
	const {clock, targets, bus} = deps;
	const readers = new Map<string, AbortController>();
	const unsubscribe = bus.subscribe('silent', ({incarnation}) => {
		const state = targets.findIncarnation(incarnation);
		if (state && clock.now() - state.heardMs > ownWordMs) {
			state.suspect(clock.now() + silentMs);
		}
	});
	const unsubscribeEvicted = bus.subscribe('evicted', ({incarnation, keys}) => {
		for (const key of keys) {
			deps.placed.forget(key, incarnation);
		}
	});
	while (!signal.aborted) {
		const wanted = new Map(targets.list().filter(({target}) => target.weights.size > 0 && !target.isLeaving && deps.isReader(target))
			.map(state => [state.target.incarnation, state]));
		for (const [incarnation, controller] of readers) {
			if (!wanted.has(incarnation)) {
				controller.abort();
				readers.delete(incarnation);
			}
		}

		for (const [incarnation, state] of wanted) {
			if (!readers.has(incarnation)) {
				const controller = new AbortController();
				readers.set(incarnation, controller);
				void readEngine(deps, state, controller.signal);
			}
		}

		await clock.sleep(lookMs, signal);
	}

	unsubscribe();
	unsubscribeEvicted();
	for (const controller of readers.values()) {
		controller.abort();
	}
}

/** Reads one engine. The task of one reader. */
async function readEngine(deps: EngineWatchDeps, state: TargetState, signal: AbortSignal): Promise<void> {
	const {clock, telemetry, bus, readEvents} = deps;
	const {id, incarnation} = state.target;
	let since = 0;
	let epoch = '';
	let isSilent = false;
	let toldMs = Number.NEGATIVE_INFINITY;
	while (!signal.aborted) {
		const startedMs = clock.now();
		const batch = await readEvents(state.target, since);
		if (signal.aborted) {
			return;
		}

		const hasHeard = batch !== undefined || state.heardMs > startedMs;
		if (hasHeard === isSilent) {
			isSilent = !hasHeard;
			telemetry.log(isSilent ? 'engine silent' : 'engine heard again', {target: id});
		}

		if (!hasHeard) {
			state.suspect(clock.now() + silentMs);
			if (clock.now() - toldMs >= tellAgainMs) {
				toldMs = clock.now();
				bus.spread({kind: 'silent', incarnation});
			}
		}

		if (batch) {
			state.heardMs = clock.now();
			state.trust();
			applyEvents(deps, incarnation, batch);
			// Another start of the engine has another cache, and numbers its changes anew.
			since = epoch === '' || epoch === batch.epoch ? batch.next : 0;
			({epoch} = batch);
		}

		await clock.sleep(Math.max(0, startedMs + readMs - clock.now()), signal);
	}
}

function applyEvents({placed, bus, clock}: EngineWatchDeps, incarnation: string, {events}: PartEvents): void {
	const evicted: string[] = [];
	for (const {isStored, scope, part} of events) {
		const key = `${scope}/${part}`;
		if (isStored) {
			placed.confirm(key, incarnation, clock.now());
		} else if (placed.has(key, incarnation, clock.now())) {
			placed.forget(key, incarnation);
			evicted.push(key);
		}
	}

	if (evicted.length > 0) {
		bus.sample({kind: 'evicted', incarnation, keys: evicted.slice(0, maxEvicted)});
	}
}
