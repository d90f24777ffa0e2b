/**
 * Aborts exchanges on which nothing arrives any more, if the request may be
 * sent again. If the target still answers other requests or, as an engine, a
 * probe, the exchange is aborted later: the request may still be queued there.
 * A sound target may pause for a second. So a request that cannot go on elsewhere
 * stays longer, until its caller should be told and can try again, and an answer
 * that has begun until its deadline.
 */
import type {TargetChoice} from './choose-target.ts';
import type {Exchange} from './exchange.ts';
import type {TargetReach} from './target-reach.ts';
import type {Cancel, Clock} from '#clock';
import type {RelayPool, RelayRequest, RelayTarget} from '#core';

/** Probes a target and returns whether it answers within a bounded time. */
export type ProbeTarget = (target: RelayTarget, pool: RelayPool) => Promise<boolean>;

export type SilenceDependencies = Readonly<{
	clock: Clock;
	probe: ProbeTarget;
	targetReach: Pick<TargetReach, 'recordFailure'>;
}>;

/** An exchange in progress, its request and the chosen target. */
export type WatchedExchange = Readonly<{
	request: RelayRequest;
	pool: RelayPool;
	choice: TargetChoice;
	exchange: Exchange;
	/** Whether the request can go on elsewhere; see {@link Attempt.canMove}. */
	canMove: () => boolean;
	/** Whether the caller has been sent a part of the answer. */
	hasBegun: () => boolean;
}>;

/**
 * Silence after which an exchange is checked, as a multiple of the expected time
 * until the answer starts. An engine is probed then; a plain service is not, and
 * its exchange is aborted. While the target
 * answers other requests, this happens only after `maxSilenceMs`.
 */
const probeFactor = 2;

/** Minimum silence before that check, for engines and for plain services, in milliseconds: answer times vary that much without a fault. */
const minEngineSilenceMs = 600;
const minServiceSilenceMs = 250;

/** Silence after which an exchange is aborted even if its target answers on other connections, or if the request cannot go on elsewhere, in milliseconds: a single connection can stall, and callers leave soon after that time. */
const maxSilenceMs = 1700;

/** Time for which a target or an exchange counts as responsive after something arrived from it, in milliseconds. */
const responsiveMs = 300;

const checkIntervalMs = 100;

/** Returns the minimum silence before an exchange is checked, in milliseconds. A stream may pause for longer than a service takes to answer. */
function getMinSilenceMs({prompt, route}: RelayRequest): number {
	if (prompt) {
		return minEngineSilenceMs;
	}

	return route.isStream ? Math.max(minEngineSilenceMs, probeFactor * route.promisedGapMs) : minServiceSilenceMs;
}

/** Watches an exchange for silence until the returned function is called. */
export function watchSilence({clock, probe, targetReach}: SilenceDependencies, {
	request, pool, choice, exchange, canMove, hasBegun,
}: WatchedExchange): Cancel {
	const {state, waitMs} = choice;
	const probeAfterMs = Math.max(getMinSilenceMs(request), probeFactor * waitMs);
	const startedMs = clock.now();
	if (request.route.retryPolicy === 'once') {
		// Such an exchange is never aborted, but its silence may be the first sign that this instance's links are cut.
		return clock.setTimer(probeAfterMs, () => {
			if (state.lastReceivedMs < startedMs) {
				targetReach.recordFailure(pool.name);
			}
		});
	}

	let isProbing = false;
	let hasCheckedLinks = false;
	/** Has this instance's links checked, once: the silence may be the first sign that they are cut. */
	const checkLinks = () => {
		if (!hasCheckedLinks) {
			hasCheckedLinks = true;
			targetReach.recordFailure(pool.name);
		}
	};

	const computeSilenceMs = () => clock.now() - Math.max(startedMs, exchange.lastReceivedMs);
	const probeTarget = async () => {
		isProbing = true;
		const isAlive = pool.engine !== undefined && await probe(state.target, pool);
		isProbing = false;
		if (isAlive) {
			state.lastReceivedMs = clock.now();
		} else if (computeSilenceMs() >= probeAfterMs && canMove()) {
			exchange.abort('silent');
		}
	};

	/** Aborts the exchange without a probe if the target is suspected meanwhile, for example after a peer's report. */
	const handleSuspicion = () => {
		if (computeSilenceMs() >= responsiveMs && canMove()) {
			exchange.abort('silent');
		}
	};

	state.suspicionHandlers.add(handleSuspicion);
	const cancel = clock.subscribe(checkIntervalMs, () => {
		const silenceMs = computeSilenceMs();
		const isTooLong = silenceMs >= Math.max(maxSilenceMs, probeAfterMs);
		const shouldProbe = silenceMs >= probeAfterMs && clock.now() - state.lastReceivedMs >= responsiveMs && !isProbing;
		if (!isTooLong && !shouldProbe) {
			return;
		}

		const canLeave = canMove();
		if (isTooLong && (canLeave || !hasBegun())) {
			exchange.abort('silent');
		} else if (canLeave) {
			void probeTarget();
		} else {
			checkLinks();
		}
	});
	return () => {
		state.suspicionHandlers.delete(handleSuspicion);
		cancel();
	};
}
