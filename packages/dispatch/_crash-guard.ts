/**
 * Keeps requests that crash targets apart: a struck request waits for its turn
 * before each attempt, a crash adds a strike to what was in flight, and a
 * completed answer clears it.
 */
import type {AttemptPlace} from './_attempt.ts';
import {isCrashed} from './_crash-probe.ts';
import type {AttemptEnd, Progress} from './_progress.ts';
import type {Clock} from '#clock';
import type {Placement, Placer} from '#placement';
import type {Quarantine, StruckTurns} from '#quarantine';

/** What the guard works with. */
export type GuardDeps = Readonly<{
	clock: Clock;
	placer: Placer;
	quarantine: Quarantine;
	turns: StruckTurns;
}>;

/** A request that may run now. */
export type Admission = Readonly<{
	placement: Placement;
	/** Aborts when the request must be taken back before its first byte. */
	recall: AbortSignal;
	/** Ends the admission, when the attempt has ended. */
	leave: () => void;
}>;

/** Admits attempts. */
export class CrashGuard {
	readonly #deps: GuardDeps;

	constructor(deps: GuardDeps) {
		this.#deps = deps;
	}

	/** Time for which the request is refused, in milliseconds; 0 when it may run. */
	readRefusalMs({fingerprint}: Progress): number {
		return this.#deps.quarantine.readRefusalMs(fingerprint);
	}

	/**
	 * Admits an attempt; a struck request waits for its turn and may get another target.
	 *
	 * @returns nothing when the request was quarantined meanwhile, no target is left, or `signal` has aborted
	 */
	async enter(wanted: Placement, progress: Progress, signal: AbortSignal): Promise<Admission | undefined> {
		const {quarantine} = this.#deps;
		const {fingerprint} = progress;
		if (quarantine.countStrikes(fingerprint) === 0) {
			return this.#enterUnstruck(wanted, progress);
		}

		const turn = await this.#takeTurn(wanted, progress, signal);
		if (turn && quarantine.readRefusalMs(fingerprint) > 0) {
			turn.end();
			return undefined;
		}

		return turn && {placement: turn.place, recall: new AbortController().signal, leave: turn.end};
	}

	/** Takes in the end of an attempt, and says "crashed" where the target's process died. */
	async classifyEnd(end: AttemptEnd, {link, placement}: AttemptPlace, progress: Progress, signal: AbortSignal): Promise<AttemptEnd> {
		const {clock, quarantine} = this.#deps;
		if (end.cause !== 'lost' || !await isCrashed(link, end.incarnation, clock, signal)) {
			return end;
		}

		quarantine.recordCrash(progress.fingerprint, placement.target.name, end.incarnation);
		return {...end, cause: 'crashed'};
	}

	/** Takes in a complete answer. */
	recordCompletion({fingerprint}: Progress): void {
		this.#deps.quarantine.recordCompletion(fingerprint);
	}

	/** Lets the request run, and recalls it when a peer sees a target crash under the same request. */
	#enterUnstruck(placement: Placement, {fingerprint, answer, request}: Progress): Admission {
		const recall = new AbortController();
		const leave = this.#deps.quarantine.watch(fingerprint, () => {
			if (request.repeatable && !answer.hasBegun()) {
				recall.abort();
			}
		});
		return {placement, recall: recall.signal, leave};
	}

	async #takeTurn(wanted: Placement, {fingerprint, request, makeChain, excluded}: Progress, signal: AbortSignal) {
		const {turns, placer} = this.#deps;
		return turns.take({
			fingerprint,
			nameOf: ({target}: Placement) => target.name,
			choose: busy => busy.has(wanted.target.name) ? placer.place({pool: request.pool, makeChain, excluded: new Set([...excluded, ...busy])}) : wanted,
		}, signal);
	}
}
