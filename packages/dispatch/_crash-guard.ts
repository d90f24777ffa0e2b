/**
 * Isolates requests, and messages that requests share, that crash targets. When a
 * target crashes, each request that was running there gets a strike, and so do
 * the messages of those whose answers had not begun. A request with strikes (a struck request) waits
 * for its turn before each attempt, so that a target runs at most one struck
 * request at a time. A complete answer clears the strikes.
 */
import type {AttemptContext} from './_attempt.ts';
import {probeCrash} from './_crash-probe.ts';
import type {AttemptFailure, Progress} from './_progress.ts';
import type {Clock} from '#clock';
import type {Placement, Placer} from '#placement';
import type {PartQuarantine, Quarantine, StruckRequestTurns} from '#quarantine';

/** Dependencies of {@link CrashGuard}. */
export type CrashGuardDependencies = Readonly<{
	clock: Clock;
	placer: Placer;
	quarantine: Quarantine;
	partQuarantine: PartQuarantine;
	turns: StruckRequestTurns;
}>;

/** The right to run one attempt now. */
export type Admission = Readonly<{
	placement: Placement;
	/**
	 * Aborts an attempt of an unstruck, repeatable request when a crash is recorded
	 * against the same request and no part of the answer was delivered. Never aborts
	 * for a struck request.
	 */
	strikeSignal: AbortSignal;
	/** Releases the admission; called when the attempt has ended. */
	release: () => void;
}>;

/** Admits the attempts of requests and records their crashes and completions. */
export class CrashGuard {
	readonly #dependencies: CrashGuardDependencies;

	constructor(dependencies: CrashGuardDependencies) {
		this.#dependencies = dependencies;
	}

	/** Returns the time for which the quarantine still refuses the request, in milliseconds; 0 when it may run. */
	getRefusalMs({fingerprint}: Progress): number {
		return this.#dependencies.quarantine.getRefusalMs(fingerprint);
	}

	/**
	 * Admits an attempt. A struck request waits for its turn and may be placed on a target other than `preferred`.
	 *
	 * @returns `undefined` when the request was quarantined while it waited, a message of it is quarantined (`progress` then has the time to retry), no target is left, or `signal` has aborted
	 */
	async admit(preferred: Placement, progress: Progress, signal: AbortSignal): Promise<Admission | undefined> {
		const {quarantine, partQuarantine} = this.#dependencies;
		const {fingerprint, prompt} = progress;
		const parts = prompt && partQuarantine.admit(prompt);
		if (parts?.isAdmitted === false) {
			progress.partRetryAfterMs = parts.retryAfterMs;
			return undefined;
		}

		const admission = await this.#admitRequest(preferred, progress, signal);
		if (!admission) {
			parts?.release();
			return undefined;
		}

		return {
			...admission,
			release() {
				admission.release();
				parts?.release();
			},
		};
	}

	/** Changes the cause `lost` to `crashed` and records the crash, if the target's process has died. */
	async classifyFailure(failure: AttemptFailure, {link, placement}: AttemptContext, progress: Progress, signal: AbortSignal): Promise<AttemptFailure> {
		const {clock, quarantine, partQuarantine} = this.#dependencies;
		if (failure.cause !== 'lost' || !await probeCrash(link, failure.incarnation, clock, signal)) {
			return failure;
		}

		quarantine.recordCrash(progress.fingerprint, placement.target.name, failure.incarnation);
		if (progress.prompt && !failure.hasAnswered) {
			partQuarantine.recordCrash(progress.prompt, placement.target.name, failure.incarnation);
		}

		return {...failure, cause: 'crashed'};
	}

	recordCompletion({fingerprint, prompt}: Progress): void {
		const {quarantine, partQuarantine} = this.#dependencies;
		quarantine.recordCompletion(fingerprint);
		if (prompt) {
			partQuarantine.recordAnswer(prompt);
		}
	}

	/** Admits an attempt by the strikes of the whole request. */
	async #admitRequest(preferred: Placement, progress: Progress, signal: AbortSignal): Promise<Admission | undefined> {
		const {quarantine} = this.#dependencies;
		const {fingerprint} = progress;
		if (quarantine.countStrikes(fingerprint) === 0) {
			return this.#admitUnstruck(preferred, progress);
		}

		const turn = await this.#acquireTurn(preferred, progress, signal);
		if (turn && quarantine.getRefusalMs(fingerprint) > 0) {
			turn.release();
			return undefined;
		}

		return turn && {placement: turn.placement, strikeSignal: new AbortController().signal, release: turn.release};
	}

	/** Admits an attempt at once. It is aborted when a crash is recorded against the same request, if the request may be repeated and no part of its answer was delivered. */
	#admitUnstruck(placement: Placement, {fingerprint, answer, request}: Progress): Admission {
		const strike = new AbortController();
		const release = this.#dependencies.quarantine.subscribe(fingerprint, () => {
			if (request.isRepeatable && !answer.hasBegun()) {
				strike.abort();
			}
		});
		return {placement, strikeSignal: strike.signal, release};
	}

	/** Waits for the turn of a struck request. If another struck request runs on the preferred target, a target without one is chosen if there is any. */
	async #acquireTurn(preferred: Placement, {fingerprint, request, createChain, excluded}: Progress, signal: AbortSignal) {
		const {turns, placer} = this.#dependencies;
		return turns.acquire({
			fingerprint,
			getTargetName: ({target}: Placement) => target.name,
			choose: busy => busy.has(preferred.target.name) ? placer.place({pool: request.pool, createChain, excluded: new Set([...excluded, ...busy])}) : preferred,
		}, signal);
	}
}
