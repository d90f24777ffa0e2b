/**
 * The parts of an instance that relays HTTP requests, wired together: copies of
 * the object store's kinds, peers, targets, gateway, and the roll-out of
 * weights. What speaks a platform's formats is handed in.
 */
import {startPeers, type Peers} from './_peers.ts';
import {Lifecycle} from './lifecycle.ts';
import type {Settings} from './settings.ts';
import type {Clock} from '#clock';
import type {
	Random, RelayConfiguration, RelayTarget, Result,
} from '#core';
import {RetryBudget} from '#dispatch';
import {Gateway} from '#gateway';
import {Lease} from '#lease';
import {followKind, KindMirror, MirrorRelay} from '#mirror';
import {
	createObjectStoreClient, type ObjectStore, type StoredObject, type StoreRates,
} from '#object-store';
import {runShareExchange} from '#placement';
import {
	PlacedParts, Relay, runPartExchange, TargetListing, TargetSet, watchEngines, WeightsBoard, type ConnectionOptions,
	type ProbeTarget, type ReadPartEvents, type TargetDialect,
} from '#relay';
import {WeightsRollout, type EngineControl, type WeightsNews} from '#rollout';
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
	/** Repeats that a pool may get for each request. */
	retryRatio: number;
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

/** Instances assumed before the peers are known. */
const expectedInstances = 8;

/** Time between reads of the list of instances, in milliseconds: peers tell the rest. */
const listIntervalMs = 20_000;

/** Part of the shared slack of repeats that is used: instances that restart begin with a full share again. */
const slackShare = 0.7;

/** Time for which an engine that begins to load weights is passed over without further news, in milliseconds. */
const loadingMs = 3000;

/** Time that a holder's term must have left for an order to engines that check no fencing token, in milliseconds. */
const unfencedTermMs = 800;

/** Time beyond a lease's term that a successor waits, in milliseconds. */
const leaseGuardMs = 500;

/** Time after a holder's last news for which the other instances leave the roll-out to it, in milliseconds: an order takes that long. */
const holderActiveMs = 1500;

/** Pause before the entry of this instance is written again, in milliseconds; doubled with each failure. */
const registerRetryMs = 500;
const maxRegisterRetryMs = 10_000;

const weightsDuty = 'weights';

/** Wires an instance and starts its background tasks. */
export async function startRelayInstance(deps: RelayInstanceDeps): Promise<RelayInstance> {
	const {
		settings, clock, random, telemetry, formats, bounds,
	} = deps;
	const {kinds} = formats;
	const mirrors = {
		configuration: new KindMirror(kinds.configuration), targets: new KindMirror(kinds.targets), weights: new KindMirror(kinds.weights),
	};
	let peers: Peers | undefined; // eslint-disable-line prefer-const -- the store's client asks for them before they have started
	const store = createObjectStoreClient({
		platform: deps.store, clock, random, telemetry, countInstances: () => peers?.listInstances().length ?? 1,
	}, {rates: deps.storeRates, expectedInstances});
	const targets = new TargetSet(clock, deps.connections);
	const calls = deps.createCalls(targets);
	const listing = new TargetListing(clock);
	const board = new WeightsBoard(clock);
	const placed = new PlacedParts();
	const relay = new Relay({
		clock, random, telemetry, targets, dialect: deps.dialect, zone: settings.zone,
		weights: board, placed, probe: calls.probe, weightsMs: bounds.weightsMs,
		budget: new RetryBudget({perAttempt: bounds.retryRatio, capacity: bounds.retrySlack * slackShare / expectedInstances}),
	});
	const gateway = new Gateway({
		clock, random, telemetry, relay,
	});
	const lifecycle = new Lifecycle({
		clock, telemetry, countRunning: () => relay.running, balancerMs: bounds.balancerMs, drainMs: bounds.drainMs,
	});
	const mirrorRelay = new MirrorRelay({mirrors: Object.values(mirrors), clock, telemetry});
	peers = await startPeers({
		settings, clock, random, telemetry, platform: store.status, listIntervalMs,
		readStatus: () => ({
			generation: gateway.configuration?.version ?? 0, ready: lifecycle.isReady, running: relay.running, revisions: mirrorRelay.readRevisions(),
		}),
		heard(peer, status) {
			mirrorRelay.hear(peer, status);
		},
	});
	const started = peers;
	const {bus} = started;
	mirrorRelay.join(bus);

	// Weights.

	let lastHolder: string | undefined;
	let holderHeardMs = -Infinity;
	const noteNews = ({incarnation, model, version, isLoading}: WeightsNews) => {
		const state = targets.findIncarnation(incarnation);
		if (!state) {
			return;
		}

		if (isLoading) {
			state.loadingUntilMs = clock.now() + loadingMs;
		} else {
			state.noteWeights(model, version);
		}
	};

	bus.subscribe('weights', (news, from) => {
		lastHolder = from.name;
		holderHeardMs = clock.now();
		noteNews(news);
	});
	const rollout = new WeightsRollout({
		name: settings.name, clock, telemetry, control: calls, leastTermMs: bounds.checksFencing ? 0 : unfencedTermMs,
		lease: new Lease(weightsDuty, {
			platform: store.leases, clock, random, telemetry, holder: settings.name,
		}, {termMs: bounds.leaseMs, guardMs: leaseGuardMs, kind: kinds.leases}),
		listEngines: () => targets.list().filter(({target}) => !target.isLeaving && target.weights.size > 0)
			.map(({target, weights}) => ({...target, weights})),
		countRequests: ({id}) => targets.get(id)?.countRequests(clock.now()) ?? 0,
		listNamed: () => board.listVersions(),
		readRank() {
			if (clock.now() - holderHeardMs < holderActiveMs) {
				return Infinity;
			}

			const isHolderLive = bus.listPeers().some(({name}) => name === lastHolder);
			return isHolderLive ? 1 + peers.readRank(weightsDuty) : peers.readRank(weightsDuty);
		},
		tell(news) {
			lastHolder = undefined;
			holderHeardMs = -Infinity;
			noteNews(news);
			bus.sample({kind: 'weights', ...news});
		},
	});

	// Copies of the store.

	const checkReady = () => {
		if (gateway.configuration && mirrors.targets.revision > 0) {
			lifecycle.markReady();
		}
	};

	const updateTargets = () => {
		targets.update(listing.list());
		rollout.wake();
		const holdMs = listing.readHoldMs();
		if (holdMs !== undefined) {
			clock.after(holdMs + 1, updateTargets);
		}
	};

	mirrors.configuration.events.on('changed', () => {
		for (const stored of mirrors.configuration.list()) {
			const decoded = formats.decodeConfiguration(stored);
			if (!decoded.ok) {
				telemetry.count('configuration_rejected_total');
				telemetry.log('configuration not understood', {name: stored.key, fault: decoded.error});
			} else if (gateway.install(decoded.value)) {
				deps.configured(decoded.value);
			}
		}

		checkReady();
	});
	mirrors.targets.events.on('changed', () => {
		listing.update(mirrors.targets.list().map(stored => formats.decodeTarget(stored)).filter(target => target !== undefined));
		updateTargets();
		checkReady();
	});
	mirrors.weights.events.on('changed', () => {
		for (const stored of mirrors.weights.list()) {
			const weights = formats.decodeWeights(stored);
			if (weights && board.note(weights.model, weights.version)) {
				telemetry.log('weights named', weights);
			}
		}

		rollout.wake();
	});

	const stopping = new AbortController();
	const tasks = [
		...Object.values(mirrors).map(async mirror => followKind({
			mirror, store: store.configuration, clock, random, telemetry,
			heard(isAnswered) {
				listing.noteStore(isAnswered);
			},
		}, stopping.signal)),
		rollout.run(stopping.signal),
		runShareExchange({views: targets, bus, clock}, stopping.signal),
		runPartExchange({placed, bus, clock}, stopping.signal),
		watchEngines({
			clock, telemetry, targets, placed, bus, readEvents: calls.readEvents, isReader: ({id}) => started.readRank(`read ${id}`) === 0,
		}, stopping.signal),
		register({
			store: store.status, key: `${kinds.instances}/${settings.name}`, value: formats.encodeInstance(peers.address ?? '', settings.zone), clock,
		}, stopping.signal),
	];

	return {
		gateway, lifecycle, peers, targets,
		countRunning: () => relay.running,
		setSeeds(addresses) {
			started.setSeeds(addresses);
		},
		async stop() {
			stopping.abort();
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
