/**
 * Keeps requests that crash targets away from them. Before each attempt it checks
 * the quarantines of requests and of prompt parts; after it, it records what the
 * attempt shows: a crash of its target, or that a target can answer the request.
 */
import type {AttemptResult} from './_attempt.ts';
import type {TargetChoice} from './choose-target.ts';
import type {RelayProgress} from './_progress.ts';
import type {ProbeTarget} from './_silence.ts';
import type {TargetReach} from './target-reach.ts';
import {computeRelayFingerprint, type PartQuarantine, type Quarantine} from '#quarantine';
import type {Telemetry} from '#telemetry';

export type QuarantineGuardDependencies = Readonly<{
	telemetry: Telemetry;
	probe: ProbeTarget;
	targetReach: Pick<TargetReach, 'checkTargetFailure'>;
	/** Quarantines requests by their whole content. */
	quarantine: Quarantine;
	partQuarantine: PartQuarantine;
}>;

/** Maximum time after which the caller of a quarantined request is asked to retry, in milliseconds. */
const maxRetryAfterMs = 60_000;

/** Time for which a target must have sent an answer to show that it does not crash when it begins one, in milliseconds. */
const provenAnswerMs = 250;

const minErrorStatus = 300;

/** Maximum number of prompt parts in a log line. */
const maxLoggedParts = 16;

const doNothing = () => undefined;

export class QuarantineGuard {
	readonly #dependencies: QuarantineGuardDependencies;

	constructor(dependencies: QuarantineGuardDependencies) {
		this.#dependencies = dependencies;
	}

	/**
	 * Admits an attempt of a request.
	 *
	 * @returns how to release the admission once the attempt's result has been recorded, or `undefined` if the request is quarantined; the reason is then recorded in `progress`
	 */
	admit(progress: RelayProgress): (() => void) | undefined {
		const {quarantine, partQuarantine} = this.#dependencies;
		const {request} = progress;
		const refusalMs = quarantine.size > 0 ? quarantine.getRefusalMs(computeRelayFingerprint(request)) : 0;
		if (refusalMs > 0) {
			recordQuarantine(progress, refusalMs);
			return undefined;
		}

		const admission = request.prompt && partQuarantine.admit(request.prompt);
		if (admission?.isAdmitted === false) {
			recordQuarantine(progress, admission.retryAfterMs);
			progress.quarantinedPart = admission.part;
			return undefined;
		}

		return admission?.release ?? doNothing;
	}

	/** Records the result of an attempt that the caller has not aborted. After a lost exchange, the target is probed; if it does not answer although another target is reached, it counts as crashed. */
	async recordResult({request, pool}: RelayProgress, {state}: TargetChoice, result: AttemptResult): Promise<void> {
		const {target} = state;
		const {probe, targetReach, quarantine, partQuarantine, telemetry} = this.#dependencies;
		const isProven = isAnswerProven(result);
		if (request.prompt && isProven) {
			partQuarantine.recordAnswer(request.prompt);
		}

		if (!result.failure && quarantine.size > 0) {
			quarantine.recordCompletion(computeRelayFingerprint(request));
		}

		if (result.failure?.cause !== 'lost' || await probe(target, pool) || !await targetReach.checkTargetFailure(state)) {
			return;
		}

		const fingerprint = computeRelayFingerprint(request);
		quarantine.recordCrash(fingerprint, target.id, target.incarnation);
		const partStrikes = request.prompt && !isProven ? partQuarantine.recordCrash(request.prompt, target.id, target.incarnation) : 0;
		telemetry.log('target did not answer a probe after an exchange was lost; recorded as crashed by the request', {
			id: request.id, target: target.id, fingerprint, strikes: quarantine.countStrikes(fingerprint), partStrikes,
			parts: request.prompt?.parts.slice(0, maxLoggedParts).map(({key}) => key), answer: result.body ?? 'none',
		});
	}
}

function recordQuarantine(progress: RelayProgress, retryAfterMs: number): void {
	progress.cause = 'quarantined';
	progress.retryAfterMs = Math.min(maxRetryAfterMs, retryAfterMs);
}

/** Whether an attempt shows that its target can answer the prompt: it has sent the whole answer, or has kept sending it. */
function isAnswerProven({failure, status, body}: AttemptResult): boolean {
	return status !== undefined && status < minErrorStatus && (!failure || (body?.spanMs ?? 0) >= provenAnswerMs);
}
