/**
 * The parts of an instance that relays HTTP requests, wired together: copies of
 * the object store's kinds, peers, targets, gateway, and the roll-out of
 * weights. What speaks a platform's formats is handed in.
 */
import {startPeers, type Peers} from './_peers.ts';
import {Lifecycle} from './lifecycle.ts';
import {Surprises} from './_surprises.ts';
import {StoreCopies} from './_store-copies.ts';
import {StoreWatchers} from './_store-watchers.ts';
import {createWeightsDuty} from './_weights-duty.ts';
import type {Settings} from './settings.ts';
import type {Clock} from '#clock';
import type {
	Random, RelayConfiguration, RelayTarget, Result,
} from '#core';
import {RetryBudget} from '#dispatch';
import {Gateway} from '#gateway';
import {
	createObjectStoreClient, InstanceCount, type ObjectStore, type StoredObject, type StoreRates,
} from '#object-store';
import {runShareExchange} from '#placement';
import {Quarantine} from '#quarantine';
import {
	PlacedParts, Relay, runPartExchange, TargetSet, watchEngines, WeightsBoard, type ConnectionOptions,
	type ProbeTarget, type ReadPartEvents, type TargetDialect,
} from '#relay';
import type {EngineControl} from '#rollout';
import type {Telemetry} from '#telemetry';

/** Reads the objects of a platform. */
export type StoredFormats = Readonly<{
	/** Kinds by what they hold. */
	kinds: Readonly<{configuration: string; targets: string; weights: string; instances: string; leases: string}>;
	decodeConfiguration(stored: StoredObject): Result<RelayConfiguration, string>;
	/** @returns nothing where the entry names no target that can be used */
	decodeTarget(stored: StoredObject): RelayTarget | undefined;
	decodeWeights(stored: StoredObject): Readonly<{model: string; version: number}> | undefined;
	/** Writes this instance's entry, so that others find it. */
	encodeInstance(address: string, zone: string): string;
}>;

/** Bounds that a deployment sets. */
export type RelayBounds = Readonly<{
	/** Repeats that a pool may get for each request, in a window of {@link RelayBounds.retryWindowMs}. */
	retryRatio: number;
	retryWindowMs: number;
	/** Repeats that a pool may get beyond the ratio, over all instances. */
	retrySlack: number;
	/** Time in which the balancer has surely turned away, in milliseconds. */
	balancerMs: number;
	/** Longest time for running requests to finish in a planned stop, in milliseconds. */
	drainMs: number;
	/** Time for which two holders of the right to give orders must not take turns, in milliseconds. */
	leaseMs: number;
	/** Time after which no request may begin on older weights than were named, in milliseconds. */
	weightsMs: number;
	/** Whether engines refuse orders with an old fencing token. */
	checksFencing: boolean;
}>;

/** Calls to targets beside callers' requests. */
export type TargetCalls = EngineControl & Readonly<{probe: ProbeTarget; readEvents: ReadPartEvents}>;

/** What a relay instance is made of. */
export type RelayInstanceDeps = Readonly<{
	settings: Pick<Settings, 'name' | 'zone' | 'peers'>;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	store: ObjectStore;
	storeRates: StoreRates;
	formats: StoredFormats;
	dialect: TargetDialect;
	createCalls: (targets: TargetSet) => TargetCalls;
	connections: ConnectionOptions;
	bounds: RelayBounds;
	/** Called with each configuration that comes into force. */
	configured: (configuration: RelayConfiguration) => void;
}>;

/** A running relay instance. */
export type RelayInstance = Readonly<{
	gateway: Gateway;
	lifecycle: Lifecycle;
	peers: Peers;
	targets: TargetSet;
	/** Requests in progress. */
	countRunning(): number;
	/** Replaces the addresses of peers to begin with. */
	setSeeds(addresses: readonly string[]): void;
	stop(): Promise<void>;
}>;

/** Instances assumed before the peers are known, and at least. */
const expectedInstances = 8;

/** Time between reads of the list of instances, in milliseconds: peers tell the rest. */
const listIntervalMs = 20_000;

/** Part of the ratio of repeats that is used: windows of different instances do not begin together. */
const ratioShare = 0.9;

/** Part of the shared slack of repeats that is used: instances that restart begin with a full share again. */
const slackShare = 0.7;

/** Crashes of targets under one request after which it is sent to no other. */
const crashLimit = 3;

/** Time for which crashes are held against a request, in milliseconds. */
const strikeHoldMs = 60_000;

/** Pause before the entry of this instance is written again, in milliseconds; doubled with each failure. */
const registerRetryMs = 500;
const maxRegisterRetryMs = 10_000;

/** Parts that the peers' side asks for its heartbeats; they exist once the peers have started. */
type Started = {relay?: Relay; gateway?: Gateway; lifecycle?: Lifecycle; copies?: StoreCopies; peers?: Peers};

/** Wires an instance and starts its background tasks. */
export async function startRelayInstance(deps: RelayInstanceDeps): Promise<RelayInstance> {
	const {
		settings, clock, random, telemetry, formats, bounds,
	} = deps;
	const started: Started = {};
	const countLive = () => started.peers?.listInstances().length ?? 1;
	const sharers = new InstanceCount(clock, countLive, expectedInstances);
	const countSharers = () => sharers.read();
	const store = createObjectStoreClient({
		platform: deps.store, clock, random, telemetry, countInstances: countLive,
	}, {rates: deps.storeRates, expectedInstances});
	const peers = await startPeers({
		settings, clock, random, telemetry, platform: store.status, listIntervalMs,
		readStatus: () => ({
			generation: started.gateway?.configuration?.version ?? 0, ready: started.lifecycle?.isReady ?? false,
			running: started.relay?.running ?? 0, revisions: started.copies?.readRevisions() ?? {},
		}),
		heard(peer, status) {
			started.copies?.hear(peer, status);
		},
	});
	const {bus} = peers;
	const targets = new TargetSet(clock, deps.connections);
	const calls = deps.createCalls(targets);
	const board = new WeightsBoard(clock);
	const placed = new PlacedParts();
	const quarantine = new Quarantine({
		clock, random, telemetry, bus,
	}, {limit: crashLimit, holdMs: strikeHoldMs});
	const surprises = new Surprises({
		targets, calls, bus, clock, telemetry,
	});
	const relay = new Relay({
		clock, random, telemetry, targets, placed, quarantine, dialect: deps.dialect, zone: settings.zone,
		weights: board, probe: calls.probe, weightsMs: bounds.weightsMs, countInstances: countSharers,
		surprised(state, surprise) {
			surprises.handle(state, surprise);
		},
		budget: new RetryBudget(clock, {
			ratio: bounds.retryRatio * ratioShare, slack: bounds.retrySlack * slackShare, windowMs: bounds.retryWindowMs, countInstances: countSharers,
		}),
	});
	const gateway = new Gateway({
		clock, random, telemetry, relay,
	});
	const lifecycle = new Lifecycle({
		clock, telemetry, countRunning: () => relay.running, balancerMs: bounds.balancerMs, drainMs: bounds.drainMs,
	});
	const rollout = createWeightsDuty({
		name: settings.name, clock, random, telemetry, store: store.leases, leaseKind: formats.kinds.leases, targets, board, control: calls, bus,
		replaced(incarnation) {
			surprises.tellReplaced(incarnation);
		},
		readRank: duty => peers.readRank(duty), leaseMs: bounds.leaseMs, checksFencing: bounds.checksFencing,
	});
	const copies = new StoreCopies({
		formats, clock, telemetry, bus, gateway, targets, board, rollout,
		watchers: new StoreWatchers({
			clock, bus, self: peers.incarnation, listFirst: (duty, count) => peers.listFirst(duty, count),
		}),
		configured: deps.configured,
		complete() {
			lifecycle.markReady();
		},
	});
	Object.assign(started, {
		relay, gateway, lifecycle, copies, peers,
	});
	const stopping = new AbortController();
	const {signal} = stopping;
	const tasks = [
		copies.run(store.configuration, random, signal),
		rollout.run(signal),
		runShareExchange({views: targets, bus, clock}, signal),
		runPartExchange({placed, bus, clock}, signal),
		watchEngines({
			clock, telemetry, targets, placed, bus, readEvents: calls.readEvents, isReader: ({id}) => peers.readRank(`read ${id}`) === 0,
		}, signal),
		register({
			store: store.status, key: `${formats.kinds.instances}/${settings.name}`, value: formats.encodeInstance(peers.address ?? '', settings.zone), clock,
		}, signal),
	];

	return {
		gateway, lifecycle, peers, targets,
		countRunning: () => relay.running,
		setSeeds(addresses) {
			peers.setSeeds(addresses);
		},
		async stop() {
			stopping.abort();
			quarantine.close();
			await peers.stop();
			await Promise.all(tasks);
			targets.close();
		},
	};
}

type Registration = Readonly<{store: ObjectStore; key: string; value: string; clock: Clock}>;

/** Writes this instance's entry, again until the store has it. */
async function register({store, key, value, clock}: Registration, signal: AbortSignal): Promise<void> {
	for (let failures = 0; !signal.aborted; failures++) {
		const put = await store.put(key, value);
		if (put.ok) {
			return;
		}

		await clock.sleep(put.error.retryAfterMs ?? Math.min(maxRegisterRetryMs, registerRetryMs * (2 ** failures)), signal);
	}
}
