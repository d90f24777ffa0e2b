/**
 * Connects the roll-out of weights to one instance. Determines from the peers'
 * messages whether this instance should hold the lease on weights orders, and
 * broadcasts each step of the roll-out to them.
 */
import {WeightsProgressExchange} from './_weights-progress.ts';
import type {Clock} from '#clock';
import type {Random} from '#core';
import {Lease} from '#lease';
import type {ObjectStore} from '#object-store';
import type {PeerBus} from '#peer-protocol';
import type {TargetReach, TargetSet, PublishedWeights} from '#relay';
import {WeightsRollout, type EngineControl, type WeightsProgress} from '#rollout';
import type {Telemetry} from '#telemetry';

export type InstanceRolloutDependencies = Readonly<{
	/** Name of this instance. */
	name: string;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	store: ObjectStore;
	/** Kind of leases in the store. */
	leaseKind: string;
	targets: TargetSet;
	targetReach: Pick<TargetReach, 'isUnreachable' | 'recordFailure'>;
	publishedWeights: PublishedWeights;
	control: EngineControl;
	bus: PeerBus;
	/** Called with the incarnation of an engine whose address another process has taken over. */
	handleReplaced: (incarnation: string) => void;
	/** Returns the rank of this instance among those that can perform a duty; 0 is the first. */
	getRank: (duty: string) => number;
	/** Term of the lease on weights orders, in milliseconds. */
	leaseMs: number;
	/** Whether engines refuse orders with an old fencing token. */
	checksFencing: boolean;
}>;

/** Maximum time for which an engine that starts to load weights is not chosen, in milliseconds; it is chosen again as soon as it has loaded them. */
const maxLoadingMs = 3000;

/** Minimum remaining term of the lease for sending an order to engines that do not check fencing tokens, in milliseconds. */
const minUnfencedRemainingTermMs = 800;

/** Time that another instance waits after the end of the lease's term before it acquires the lease, in milliseconds. */
const leaseGuardMs = 500;

/** Time after the holder's last progress message during which the other instances do not try to acquire the lease, in milliseconds; an order takes that long. */
const holderActiveMs = 1500;

const dutyName = 'weights';

/** Creates the roll-out of an instance, which the caller runs, and the lease on weights orders. */
export function createInstanceRollout(dependencies: InstanceRolloutDependencies): Readonly<{rollout: WeightsRollout; lease: Lease}> {
	const {
		name, clock, random, telemetry, targets, targetReach, publishedWeights, bus,
	} = dependencies;
	/** Name of the other instance that broadcast progress last; not set if this instance did. */
	let lastHolder: string | undefined;
	let lastHolderProgressMs = -Infinity;

	function recordProgress({incarnation, model, version, isLoading}: WeightsProgress): void {
		const state = targets.findByIncarnation(incarnation);
		if (isLoading && state) {
			state.loadingUntilMs = clock.now() + maxLoadingMs;
		} else {
			state?.recordWeights(model, version);
		}
	}

	const lease = new Lease(dutyName, {
		platform: dependencies.store, clock, random, telemetry, holder: name,
	}, {termMs: dependencies.leaseMs, guardMs: leaseGuardMs, kind: dependencies.leaseKind});
	const listEngines = () => targets.list().filter(({weights, isLeaving}) => !isLeaving && weights.size > 0);
	const exchange = new WeightsProgressExchange({
		bus, clock,
		handleStep(progress, from) {
			lastHolder = from.name;
			lastHolderProgressMs = clock.now();
			recordProgress(progress);
		},
		getFencing: () => lease.highestFencing,
		handleFencing(fencing) {
			lease.recordFencing(fencing);
		},
	});
	const rollout = new WeightsRollout({
		name, clock, telemetry, control: dependencies.control, minRemainingTermMs: dependencies.checksFencing ? 0 : minUnfencedRemainingTermMs,
		lease,
		listEngines: () => listEngines().map(({target, weights}) => ({...target, weights})),
		countRequests: ({id}) => targets.get(id)?.countRequests(clock.now()) ?? 0,
		listNewestVersions: () => publishedWeights.listNewest(),
		getRank() {
			if (clock.now() - lastHolderProgressMs < holderActiveMs) {
				return Infinity;
			}

			// While another instance that held the lease last is live, this one ranks one place lower, so that the lease does not alternate between instances.
			const isHolderLive = bus.listPeers().some(peer => peer.name === lastHolder);
			return (isHolderLive ? 1 : 0) + dependencies.getRank(dutyName);
		},
		canReachEngines: () => [...new Set(listEngines().map(({target}) => target.pool))].some(pool => !targetReach.isUnreachable(pool)),
		handleUnanswered({pool}) {
			targetReach.recordFailure(pool);
		},
		isStandby: () => dependencies.getRank(dutyName) <= 1,
		handleReplaced({incarnation}) {
			dependencies.handleReplaced(incarnation);
		},
		broadcastProgress(progress) {
			lastHolder = undefined;
			lastHolderProgressMs = -Infinity;
			recordProgress(progress);
			exchange.broadcast(progress);
		},
	});
	return {rollout, lease};
}
