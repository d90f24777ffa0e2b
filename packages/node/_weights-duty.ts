/** An instance's part in the roll-out of weights: who acts, by what the peers tell, and what is known of engines. */
import type {Clock} from '#clock';
import type {Random} from '#core';
import {Lease} from '#lease';
import type {ObjectStore} from '#object-store';
import type {PeerBus} from '#peer-protocol';
import type {TargetSet, WeightsBoard} from '#relay';
import {WeightsRollout, type EngineControl, type WeightsNews} from '#rollout';
import type {Telemetry} from '#telemetry';

/** What the duty works with. */
export type WeightsDutyDeps = Readonly<{
	/** Name of this instance. */
	name: string;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	store: ObjectStore;
	/** Kind of leases in the store. */
	leaseKind: string;
	targets: TargetSet;
	board: WeightsBoard;
	control: EngineControl;
	bus: PeerBus;
	/** Called when another process has taken an engine's address. */
	replaced: (incarnation: string) => void;
	/** Place of this instance among those that could do a duty; 0 is the first. */
	readRank: (duty: string) => number;
	/** Time for which two holders of the lease must not take turns, in milliseconds. */
	leaseMs: number;
	/** Whether engines refuse orders with an old fencing token. */
	checksFencing: boolean;
}>;

/** Time for which an engine that begins to load weights is passed over without further news, in milliseconds. */
const loadingMs = 3000;

/** Time that a holder's term must have left for an order to engines that check no fencing token, in milliseconds. */
const unfencedTermMs = 800;

/** Time beyond a lease's term that a successor waits, in milliseconds. */
const leaseGuardMs = 500;

/** Time after a holder's last news for which the other instances leave the roll-out to it, in milliseconds: an order takes that long. */
const holderActiveMs = 1500;

const dutyName = 'weights';

/** Creates the roll-out of an instance; it is run by its caller. */
export function createWeightsDuty(deps: WeightsDutyDeps): WeightsRollout {
	const {
		name, clock, random, telemetry, targets, board, bus,
	} = deps;
	let lastHolder: string | undefined;
	let holderHeardMs = -Infinity;

	function noteNews({incarnation, model, version, isLoading}: WeightsNews): void {
		const state = targets.findIncarnation(incarnation);
		if (isLoading && state) {
			state.loadingUntilMs = clock.now() + loadingMs;
		} else {
			state?.noteWeights(model, version);
		}
	}

	bus.subscribe('weights', (news, from) => {
		lastHolder = from.name;
		holderHeardMs = clock.now();
		noteNews(news);
	});
	return new WeightsRollout({
		name, clock, telemetry, control: deps.control, leastTermMs: deps.checksFencing ? 0 : unfencedTermMs,
		lease: new Lease(dutyName, {
			platform: deps.store, clock, random, telemetry, holder: name,
		}, {termMs: deps.leaseMs, guardMs: leaseGuardMs, kind: deps.leaseKind}),
		listEngines: () => targets.list().filter(({target}) => !target.isLeaving && target.weights.size > 0)
			.map(({target, weights}) => ({...target, weights})),
		countRequests: ({id}) => targets.get(id)?.countRequests(clock.now()) ?? 0,
		listNamed: () => board.listVersions(),
		readRank() {
			if (clock.now() - holderHeardMs < holderActiveMs) {
				return Infinity;
			}

			// The last holder goes on as long as it lives, so that holders do not take turns.
			const isHolderLive = bus.listPeers().some(peer => peer.name === lastHolder);
			return (isHolderLive ? 1 : 0) + deps.readRank(dutyName);
		},
		isStandby: () => deps.readRank(dutyName) <= 1,
		replaced({incarnation}) {
			deps.replaced(incarnation);
		},
		tell(news) {
			lastHolder = undefined;
			holderHeardMs = -Infinity;
			noteNews(news);
			bus.spread({kind: 'weights', ...news});
		},
	});
}
