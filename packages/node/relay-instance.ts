/**
 * Wires the components of an instance that relays HTTP requests: mirrors of the
 * object store, peers, targets, the gateway, and the roll-out of weights. Codecs
 * and calls that depend on a platform's formats are injected.
 */
import {setMaxListeners} from 'node:events';
import {startPeers, type Peers} from './_peers.ts';
import {Lifecycle} from './lifecycle.ts';
import {MismatchHandler} from './_mismatch-handler.ts';
import {registerInstance} from './_register-instance.ts';
import {StoreMirrors} from './_store-mirrors.ts';
import {StoreWatchers} from './_store-watchers.ts';
import {createInstanceRollout} from './_instance-rollout.ts';
import {runTask} from './_run-task.ts';
import type {Settings} from './settings.ts';
import {CustomerLimits, HeldBodies} from '#admission';
import {SuspensionMonitor, type Clock} from '#clock';
import type {
	Random, RelayConfiguration, RelayTarget, Result,
} from '#core';
import {RetryBudget} from '#dispatch';
import {Gateway} from '#gateway';
import type {Lease} from '#lease';
import {
	createObjectStoreClient, InstanceCount, type ObjectStore, type StoredObject, type StoreRates,
} from '#object-store';
import type {PeerStatus, PeerTransport} from '#peer-protocol';
import {runWorkExchange} from '#placement';
import {
	PartQuarantine, partStrikeOptions, Quarantine, runQuarantineArchive, runStrikeSync,
} from '#quarantine';
import {
	CachedParts, KvCacheStores, OpenRequests, OriginArchive, OriginExchange,
	originRetentionMs, PeerPaths, Relay, resolveOrigin, runPartExchange, serveRelayedRequests, StreamOrigins, TargetReach, TargetSet,
	watchEngines, PublishedWeights, VersionRecord, VersionRefresh, type CheckKvCacheStore, type CheckReach, type ConnectionOptions,
	type ProbeTarget, type ReadPartCacheEvents, type RelayedWork, type TargetDialect, type WeightsStatement,
} from '#relay';
import type {EngineControl} from '#rollout';
import type {Telemetry} from '#telemetry';

/** Decodes and encodes the objects in a platform's store. */
export type StoredFormats = Readonly<{
	/** Names of the kinds of objects in the store. */
	kinds: Readonly<{configuration: string; targets: string; weights: string; instances: string; leases: string; quarantine: string; software: string; origins: string}>;
	decodeConfiguration(stored: StoredObject): Result<RelayConfiguration, string>;
	/** @returns the target, or why the entry describes none that can be used */
	decodeTarget(stored: StoredObject): Result<RelayTarget, string>;
	decodeWeights(stored: StoredObject): Result<Readonly<{model: string; version: number}>, string>;
	/** Encodes the entry by which other instances find this one. */
	encodeInstance(address: string, zone: string): string;
}>;

/** Limits that a deployment sets. */
export type RelayBounds = Readonly<{
	/** Maximum ratio of retries to requests of a pool, over a window of {@link RelayBounds.retryWindowMs}. */
	retryRatio: number;
	retryWindowMs: number;
	/** Maximum number of retries of a pool beyond the ratio, over all instances. */
	retrySlack: number;
	/** Maximum time until the load balancer sends no more requests to an instance that is not ready, in milliseconds. */
	balancerMs: number;
	/** Maximum time to wait for running requests in a graceful shutdown, in milliseconds. */
	drainMs: number;
	/** Maximum time for the requests that outlast it to send their last answers, in milliseconds. */
	endMs: number;
	/** Term of the lease on weights orders, in milliseconds; no other instance may send orders within it. */
	leaseMs: number;
	/** Maximum time for which requests may still start on older weights after a version is published, in milliseconds. */
	maxStaleWeightsMs: number;
	/** Maximum number of bytes of request bodies that the instance holds. */
	maxHeldBodyBytes: number;
	/** Whether engines refuse orders with an old fencing token. */
	checksFencing: boolean;
	/** Window in which the work of a customer is compared with its limit, in milliseconds. */
	quotaWindowMs: number;
	/** Part of a customer's limit by which its work may exceed it within a window, over all instances. */
	quotaOver: number;
	/** Units by which it may exceed that. */
	quotaSlack: number;
}>;

/** Calls to targets other than callers' requests. */
export type TargetCalls = EngineControl & Readonly<{probe: ProbeTarget; checkReach: CheckReach; readEvents: ReadPartCacheEvents; checkKvCacheStore: CheckKvCacheStore}>;

/** Dependencies of {@link startRelayInstance}. */
export type RelayInstanceDependencies = Readonly<{
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
	/** Carries the bytes between instances. Default: TCP. */
	peerTransport?: PeerTransport | undefined;
	/** Called with each configuration that comes into force. */
	handleConfiguration: (configuration: RelayConfiguration) => void;
}>;

export type RelayInstance = Readonly<{
	gateway: Gateway;
	lifecycle: Lifecycle;
	peers: Peers;
	targets: TargetSet;
	openRequests: OpenRequests;
	heldBodies: HeldBodies;
	/** Counts the requests in progress. */
	countRunning(): number;
	/** Replaces the addresses of the peers to connect to first; see {@link Peers.setSeeds}. */
	setSeeds(addresses: readonly string[]): void;
	stop(): Promise<void>;
}>;

/** Number of instances that is assumed after a start when the fleet's limits are divided: for five minutes, or until more instances are live. */
const expectedInstances = 8;

/** Time between reads of the platform's list of instances, in milliseconds; in between, instances are learned from peers. */
const listIntervalMs = 20_000;

/** Fraction of the retry ratio that is used. The rest is a reserve, because the windows of different instances do not start together. */
const retryRatioShare = 0.9;

/** Fraction of the retry slack that is used. The rest is a reserve, because an instance that restarts gets its full share again. */
const retrySlackShare = 0.7;

/** Number of crashed targets after which a request is sent to no other. */
const maxCrashes = 3;

/** Time for which a crash counts against a request, in milliseconds. */
const strikeRetentionMs = 60_000;

/** Number of instances, of those that share what a target takes, to which others may pass requests on: these have a share of any limit. */
const sharersPerTarget = 2;

/** Number of instances that may take over reading an engine's events from those that are cut off. */
const readerCandidates = 6;

/** Number of listeners on the signal that stops the background tasks, above which Node.js suspects a leak: each task has one or two. */
const maxSignalListeners = 32;

/** Components whose state the heartbeats carry. They are created after the peer protocol has started. */
type StartedComponents = {
	relay?: Relay; gateway?: Gateway; lifecycle?: Lifecycle; storeMirrors?: StoreMirrors; peers?: Peers; targetReach?: TargetReach; peerPaths?: PeerPaths; relayedWork?: RelayedWork; lease?: Lease;
};

/** Creates a relay instance and starts its background tasks. */
export async function startRelayInstance(dependencies: RelayInstanceDependencies): Promise<RelayInstance> {
	const {
		settings, clock, random, telemetry, formats, bounds,
	} = dependencies;
	const started: StartedComponents = {};
	const countLiveInstances = () => started.peers?.listInstances().length ?? 1;
	const suspensions = new SuspensionMonitor(clock);
	const publishedWeights = new PublishedWeights({clock, suspensions});
	const sharingInstances = new InstanceCount(clock, countLiveInstances, expectedInstances);
	const countSharingInstances = () => sharingInstances.getCount();
	const store = createObjectStoreClient({
		platform: dependencies.store, clock, random, telemetry, countInstances: countLiveInstances,
	}, {rates: dependencies.storeRates, expectedInstances});
	const peers = await startPeers({
		settings, clock, random, telemetry, platform: store.status, transport: dependencies.peerTransport, listIntervalMs,
		getStatus: () => ({
			...formatUnreachablePools(started.targetReach?.listUnreachablePools() ?? []), ...formatWeightsAges(publishedWeights.listStatements()),
			generation: started.gateway?.configuration?.version ?? 0, ready: started.lifecycle?.isReady ?? false,
			running: started.relay?.running ?? 0, revisions: started.storeMirrors?.getRevisions() ?? {}, epochs: started.storeMirrors?.getEpochs() ?? {}, fencing: started.lease?.highestFencing ?? 0,
		}),
		handleHeartbeat(peer, status) {
			started.lease?.recordFencing(status.fencing ?? 0);
			started.storeMirrors?.handleHeartbeat(peer, status);
			started.peerPaths?.recordStatus(peer, status);
		},
	});
	const {bus} = peers;
	const openRequests = new OpenRequests();
	const heldBodies = new HeldBodies({clock, random, telemetry}, {maxBytes: bounds.maxHeldBodyBytes});
	const targets = new TargetSet(clock, dependencies.connections);
	const calls = dependencies.createCalls(targets);
	const cachedParts = new CachedParts();
	const origins = new StreamOrigins(clock);
	const stopping = new AbortController();
	const {signal} = stopping;
	setMaxListeners(maxSignalListeners, signal);
	const refreshTargets = async () => await started.storeMirrors?.refreshTargets(store.configuration, signal) ?? false;
	const versionRecord = new VersionRecord({
		clock, telemetry, store: store.status, kind: formats.kinds.software, targets, refreshTargets, getRank: duty => peers.getRank(duty),
	});
	const versionRefresh = new VersionRefresh({clock, refreshTargets, refreshRecord: async () => versionRecord.refresh()});
	const refresh = async () => versionRefresh.refresh();
	const hasSeveralVersions = (withinMs: number) => targets.hasSeveralVersions(withinMs);
	const originArchive = new OriginArchive({
		clock, telemetry, store: store.status, urgentStore: store.configuration, kind: formats.kinds.origins, incarnation: peers.incarnation, origins, bus, hasSeveralVersions,
		countInstances: countSharingInstances, writesPerSecond: dependencies.storeRates.writesPerSecond, getRank: duty => peers.getRank(duty),
	});
	const originExchange = new OriginExchange({
		origins, bus, clock, random, refresh, hasSeveralVersions, archive: originArchive,
		listVersions: pool => targets.listVersions(pool, originRetentionMs), isStoreAnswering: () => started.storeMirrors?.isStoreAnswering ?? true,
	});
	const quarantine = new Quarantine({
		clock, random, telemetry, bus,
	}, {strikeLimit: maxCrashes, retentionMs: strikeRetentionMs});
	const partStrikes = new Quarantine({
		clock, random, telemetry, bus,
	}, partStrikeOptions);
	const partQuarantine = new PartQuarantine({
		clock, telemetry, strikes: partStrikes, getRank: duty => peers.getRank(duty),
	});
	const mismatchHandler = new MismatchHandler({
		targets, control: calls, bus, clock, telemetry,
	});
	const targetReach = new TargetReach({
		clock, random, telemetry, targets, getPool: name => started.gateway?.configuration?.pools.get(name), checkReach: calls.checkReach,
	});
	const peerPaths = new PeerPaths({
		bus, clock, random, zone: settings.zone,
	});
	const kvCacheStores = new KvCacheStores({
		clock, bus, telemetry, listStores: () => started.gateway?.configuration?.kvCacheStores ?? [], checkStore: calls.checkKvCacheStore,
		isChecker: ({address}) => peers.getRank(`kv store ${address}`) === 0 && targetReach.listUnreachablePools().length === 0,
	});
	const relay = new Relay({
		bus, targetReach, peerPaths, openRequests, listSharers: target => peers.listFirst(formatShareDuty(target), sharersPerTarget),
		clock, random, telemetry, targets, cachedParts, listKvCacheStores: () => kvCacheStores.listAnswering(), streamOrigins: origins, quarantine,
		partQuarantine, dialect: dependencies.dialect, zone: settings.zone,
		publishedWeights, getConfiguration: () => started.gateway?.configuration, probe: calls.probe, maxStaleWeightsMs: bounds.maxStaleWeightsMs, countInstances: countSharingInstances,
		getLimitSharing: ({id}) => ({instances: countLiveInstances(), rank: peers.getRank(formatShareDuty(id))}),
		handleMismatch(state, mismatch) {
			mismatchHandler.handle(state, mismatch);
		},
		budget: new RetryBudget(clock, {
			ratio: bounds.retryRatio * retryRatioShare, slack: bounds.retrySlack * retrySlackShare, windowMs: bounds.retryWindowMs, countInstances: countSharingInstances,
		}),
	});
	const customerLimits = new CustomerLimits({
		clock, random, telemetry, bus, incarnation: peers.incarnation, countInstances: countSharingInstances,
		tolerance: {windowMs: bounds.quotaWindowMs, ratio: bounds.quotaOver, slack: bounds.quotaSlack},
	});
	const gateway = new Gateway({
		clock, random, telemetry, relay, customerLimits, resolveOrigin: async stream => resolveOrigin({
			origins, exchange: originExchange, archive: originArchive, refresh, targets, versionRecord, telemetry,
		}, stream),
	});
	// An open request counts also while its body or its answer is on the way; requests of peers are in the relay, or wait for it.
	const countRunning = () => Math.max(openRequests.size, relay.running + gateway.resolving) + (started.relayedWork?.countPending() ?? 0);
	const lifecycle = new Lifecycle({
		clock, telemetry, countRunning, balancerMs: bounds.balancerMs, drainMs: bounds.drainMs, endMs: bounds.endMs,
		endRequests() {
			openRequests.endAll();
		},
	});
	/** Whether this instance ranks first for reading an engine's events among those not known to be cut off from its pool. */
	const isFirstReader = ({id, pool}: RelayTarget) => {
		const candidates = peers.listFirst(formatReadDuty(id), readerCandidates);
		const first = candidates.find(incarnation => incarnation === peers.incarnation ? !targetReach.isUnreachable(pool) : !peerPaths.isCutOff(incarnation, pool));
		return first === peers.incarnation;
	};

	const {rollout, lease} = createInstanceRollout({
		name: settings.name, clock, random, telemetry, store: store.leases, leaseKind: formats.kinds.leases, targets, targetReach, publishedWeights, control: calls, bus,
		handleReplaced(incarnation) {
			mismatchHandler.markReplaced(incarnation);
		},
		getRank: duty => peers.getRank(duty), leaseMs: bounds.leaseMs, checksFencing: bounds.checksFencing,
	});
	const storeMirrors = new StoreMirrors({
		formats, clock, telemetry, bus, gateway, targets, publishedWeights, rollout,
		watchers: new StoreWatchers({
			clock, bus, self: peers.incarnation, listFirst: (duty, count) => peers.listFirst(duty, count),
		}),
		handleConfiguration: dependencies.handleConfiguration,
		handleReady() {
			lifecycle.markReady();
		},
		handleStoreReturn() {
			versionRecord.markDoubtful();
		},
	});
	Object.assign(started, {
		relay, gateway, lifecycle, storeMirrors, peers, targetReach, peerPaths, lease,
	});
	started.relayedWork = serveRelayedRequests({
		clock, telemetry, bus, relay, heldBodies, isReady: () => lifecycle.isReady,
	});
	const tasks: Readonly<Record<string, (signal: AbortSignal) => Promise<void>>> = {
		mirrors: async () => storeMirrors.run(store.configuration, random, signal),
		rollout: async () => rollout.run(signal),
		work: async () => runWorkExchange({views: targets, bus, clock}, signal),
		parts: async () => runPartExchange({cachedParts, bus, clock}, signal),
		origins: async () => originExchange.run(signal),
		originArchive: async () => originArchive.run(signal),
		versions: async () => versionRecord.run(signal),
		reach: async () => targetReach.run(signal),
		kvCacheStores: async () => kvCacheStores.run(signal),
		strikes: async () => runStrikeSync({
			clock, telemetry, bus, quarantines: [partStrikes, quarantine],
		}, signal),
		archive: async () => runQuarantineArchive({
			clock, telemetry, store: store.status, kind: formats.kinds.quarantine, quarantine: partStrikes, getRank: duty => peers.getRank(duty),
		}, signal),
		engines: async () => watchEngines({
			clock, telemetry, targets, cachedParts, bus, targetReach, readEvents: calls.readEvents, isReader: target => isFirstReader(target),
		}, signal),
		registration: async () => registerInstance({
			store: store.status, key: `${formats.kinds.instances}/${settings.name}`, value: formats.encodeInstance(peers.address ?? '', settings.zone), clock,
		}, signal),
	};
	const running = Object.entries(tasks).map(async ([task, run]) => runTask(task, run, {clock, telemetry}, signal));

	return {
		gateway, lifecycle, peers, targets, openRequests, heldBodies,
		countRunning,
		setSeeds(addresses) {
			peers.setSeeds(addresses);
		},
		async stop() {
			stopping.abort();
			suspensions.close();
			customerLimits.close();
			quarantine.close();
			partStrikes.close();
			await peers.stop();
			await Promise.all(running);
			targets.close();
		},
	};
}

/** Formats the duty by which the instances rank that read an engine's cache events. */
function formatReadDuty(targetId: string): string {
	return `read ${targetId}`;
}

/** Formats the duty by which the instances rank that share what a target takes. */
function formatShareDuty(targetId: string): string {
	return `limit ${targetId}`;
}

/** Returns the field of a heartbeat's status that lists these pools; none if all pools are reached. */
function formatUnreachablePools(pools: readonly string[]): Readonly<{unreachablePools?: string[]}> {
	return pools.length > 0 ? {unreachablePools: [...pools]} : {};
}

/** Returns the field of a heartbeat's status that states the ages of published weights; none if none were published lately. */
function formatWeightsAges(statements: readonly WeightsStatement[]): Pick<PeerStatus, 'weightsAges'> {
	return statements.length > 0 ? {weightsAges: statements.map(({model, versions}) => ({model, versions: versions.map(([version, maxAgeMs, minAgeMs]) => [version, maxAgeMs, minAgeMs])}))} : {};
}
