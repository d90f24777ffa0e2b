/** Connects the roll-out of weights to one instance: decides by the peers' messages whether the instance acts, and shares each step with them. */
import type {Clock} from '#clock';
import type {Random} from '#core';
import {Lease} from '#lease';
import type {ObjectStore} from '#object-store';
import type {PeerBus} from '#peer-protocol';
import type {TargetSet, PublishedWeights} from '#relay';
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
	board: PublishedWeights;
	control: EngineControl;
	bus: PeerBus;
	/** Called with the incarnation of an engine whose address another process has taken. */
	handleReplaced: (incarnation: string) => void;
	/** Returns the rank of this instance among those that can perform a duty; 0 is the first. */
	getRank: (duty: string) => number;
	/** Term of the lease on weights orders, in milliseconds. */
	leaseMs: number;
	/** Whether engines refuse orders with an old fencing token. */
	checksFencing: boolean;
}>;

/** Maximum time for which an engine that starts to load weights is not chosen, in milliseconds; its next update may come sooner. */
const maxLoadingMs = 3000;

/** Minimum time left in the lease's term to send an order to engines that do not check fencing tokens, in milliseconds. */
const minUnfencedTermMs = 800;

/** Time that a successor waits after the end of a lease's term, in milliseconds. */
const leaseGuardMs = 500;

/** Time after the holder's last update during which other instances leave the roll-out to it, in milliseconds; an order takes that long. */
const holderActiveMs = 1500;

const dutyName = 'weights';

/** Creates the roll-out of an instance; the caller runs it. */
export function createInstanceRollout(dependencies: InstanceRolloutDependencies): WeightsRollout {
	const {
		name, clock, random, telemetry, targets, board, bus,
	} = dependencies;
	let lastHolder: string | undefined;
	let lastHolderUpdateMs = -Infinity;

	function recordUpdate({incarnation, model, version, isLoading}: WeightsProgress): void {
		const state = targets.findByIncarnation(incarnation);
		if (isLoading && state) {
			state.loadingUntilMs = clock.now() + maxLoadingMs;
		} else {
			state?.recordWeights(model, version);
		}
	}

	bus.subscribe('weights', (update, from) => {
		lastHolder = from.name;
		lastHolderUpdateMs = clock.now();
		recordUpdate(update);
	});
	return new WeightsRollout({
		name, clock, telemetry, control: dependencies.control, minRemainingTermMs: dependencies.checksFencing ? 0 : minUnfencedTermMs,
		lease: new Lease(dutyName, {
			platform: dependencies.store, clock, random, telemetry, holder: name,
		}, {termMs: dependencies.leaseMs, guardMs: leaseGuardMs, kind: dependencies.leaseKind}),
		listEngines: () => targets.list().filter(({target}) => !target.isDraining && target.weights.size > 0)
			.map(({target, weights}) => ({...target, weights})),
		countRequests: ({id}) => targets.get(id)?.countRequests(clock.now()) ?? 0,
		listNewestVersions: () => board.listNewest(),
		getRank() {
			if (clock.now() - lastHolderUpdateMs < holderActiveMs) {
				return Infinity;
			}

			// The last holder continues while it is live, so that the lease does not alternate between instances.
			const isHolderLive = bus.listPeers().some(peer => peer.name === lastHolder);
			return (isHolderLive ? 1 : 0) + dependencies.getRank(dutyName);
		},
		isStandby: () => dependencies.getRank(dutyName) <= 1,
		handleReplaced({incarnation}) {
			dependencies.handleReplaced(incarnation);
		},
		broadcastProgress(update) {
			lastHolder = undefined;
			lastHolderUpdateMs = -Infinity;
			recordUpdate(update);
			bus.broadcast({kind: 'weights', ...update});
		},
	});
}
