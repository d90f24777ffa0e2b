/**
 * Gives up exchanges that have gone silent, where the request may be sent
 * again. A target that still answers others, or a probe, is waited for longer:
 * the request may only be queued there.
 */
import type {TargetChoice} from './choose-target.ts';
import type {Exchange} from './exchange.ts';
import type {Cancel, Clock} from '#clock';
import type {RelayPool, RelayRequest, RelayTarget} from '#core';

/** Asks a target for a sign of life, within a bounded time. */
export type ProbeTarget = (target: RelayTarget, pool: RelayPool) => Promise<boolean>;

/** What watching works with. */
export type SilenceDeps = Readonly<{clock: Clock; probe: ProbeTarget}>;

/** What is watched. */
export type WatchedExchange = Readonly<{request: RelayRequest; pool: RelayPool; choice: TargetChoice; exchange: Exchange}>;

/** Silence after which a target is asked for a sign of life, in expected times to the answer's beginning. */
const doubtFactor = 2;

/** Least such silence of engines and of plain targets, in milliseconds: answers vary that much by themselves. */
const leastEngineDoubtMs = 600;
const leastPlainDoubtMs = 250;

/** Silence after which an exchange is given up whatever its target says, in milliseconds: connections go silent one by one, and callers leave soon after. */
const mostSilenceMs = 1700;

/** Time for which a target counts as heard, in milliseconds. */
const heardMs = 300;

/** Time between looks, in milliseconds. */
const lookMs = 100;

const never: Cancel = () => undefined;

/** Watches until the returned function is called. */
export function watchSilence({clock, probe}: SilenceDeps, {request, pool, choice, exchange}: WatchedExchange): Cancel {
	const {state, waitMs} = choice;
	if (request.route.repetition === 'once') {
		return never;
	}

	const doubtMs = Math.max(request.prompt ? leastEngineDoubtMs : leastPlainDoubtMs, doubtFactor * waitMs);
	const startedMs = clock.now();
	let isAsking = false;
	const readSilenceMs = () => clock.now() - Math.max(startedMs, exchange.heardMs);
	const doubt = async () => {
		isAsking = true;
		const isAlive = pool.engine !== undefined && await probe(state.target, pool);
		isAsking = false;
		if (isAlive) {
			state.heardMs = clock.now();
		} else if (readSilenceMs() >= doubtMs) {
			exchange.abort('silent');
		}
	};

	const onSilence = () => {
		if (readSilenceMs() >= heardMs) {
			exchange.abort('silent');
		}
	};

	state.silenceHandlers.add(onSilence);
	const cancel = clock.subscribe(lookMs, () => {
		const silenceMs = readSilenceMs();
		if (silenceMs >= Math.max(mostSilenceMs, doubtMs)) {
			exchange.abort('silent');
		} else if (silenceMs >= doubtMs && clock.now() - state.heardMs >= heardMs && !isAsking) {
			void doubt();
		}
	});
	return () => {
		state.silenceHandlers.delete(onSilence);
		cancel();
	};
}
