/**
 * Finds the prompt parts that crash targets, and decides which prompts may still
 * run. When a target crashes, each part of the prompts that it had not yet begun
 * to answer gets a strike; a prompt that a target answers clears the strikes of
 * its parts. The part that causes the crashes is in every one of them and is
 * never cleared, whereas the parts that accompany it are cleared by other
 * prompts.
 *
 * A part at the strike limit is quarantined. It may have been accused wrongly:
 * because it accompanied the cause, or because many targets crashed for another
 * reason. Therefore single prompts with it still run as trials, at first at one
 * instance only. If other quarantined parts, which the prompt does not have,
 * explain the crashes, a trial may run at once, else after a delay that grows
 * with the number of failed trials. Prompts with fewer quarantined parts go
 * first, as their outcome says more about each of them.
 */
import type {QuarantineOptions} from './quarantine-options.ts';
import type {Quarantine, StrikeRecord} from './quarantine.ts';
import type {Clock} from '#clock';
import {hash64, type Prompt} from '#core';
import type {Telemetry} from '#telemetry';

export type PartQuarantineDependencies = Readonly<{
	clock: Clock;
	telemetry: Telemetry;
	/** The strikes of parts. */
	strikes: Quarantine;
	/** Returns the rank of this instance among those that can perform a duty; 0 is the first. */
	getRank: (duty: string) => number;
}>;

/** Whether an attempt with a prompt may run. */
export type PartAdmission
	= | Readonly<{isAdmitted: true; /** Must be called once the outcome of the attempt has been recorded. */ release: () => void}>
		| Readonly<{isAdmitted: false; /** Key of the part for which the prompt is refused. */ part: string; /** Time after which a trial may be possible, in milliseconds. */ retryAfterMs: number}>;

/** Options of the quarantine that keeps the strikes of parts. A quarantine is kept for twice the longest delay between two trials, so that only a trial ends it while requests still come. */
export const partStrikeOptions = {
	namespace: 'part', strikeLimit: 3, retentionMs: 600_000, quarantineRetentionMs: 3_600_000, rebroadcastPeriodMs: 60_000, maxEntries: 4096,
} as const satisfies QuarantineOptions;

/** Maximum number of parts of a prompt that are tracked, the outermost first; it bounds the messages that a crash causes. */
const maxParts = 64;

/** Maximum number of quarantined parts that may explain the crashes of another. */
const maxExplanations = 64;

/** Delays from the last crash to a trial, in milliseconds, by the number of failed trials. */
const trialDelaysMs = [1000, 5000, 60_000, 300_000, 1_800_000];

/** Time in which twice as many instances may run a trial if none has been run, in milliseconds. */
const rankDoublingMs = 2000;

/** Delay for each further quarantined part of a prompt, in milliseconds. */
const furtherSuspectMs = 2000;

/** Retry time while a trial runs, or may run at another instance, in milliseconds: a short answer takes less. */
const trialRetryMs = 500;

const ignoreRelease = () => undefined;
const admitted: PartAdmission = {isAdmitted: true, release: ignoreRelease};

export class PartQuarantine {
	readonly #dependencies: PartQuarantineDependencies;
	/** Fingerprints of the parts on trial at this instance. */
	readonly #trials = new Set<string>();

	constructor(dependencies: PartQuarantineDependencies) {
		this.#dependencies = dependencies;
	}

	/** Admits an attempt with a prompt, if necessary as a trial. */
	admit(prompt: Prompt): PartAdmission {
		const {strikes, telemetry} = this.#dependencies;
		if (strikes.quarantinedCount === 0) {
			return admitted;
		}

		const fingerprints = listFingerprints(prompt);
		const suspects = fingerprints.filter(fingerprint => strikes.getQuarantine(fingerprint));
		for (const suspect of suspects) {
			const retryAfterMs = this.#computeRetryMs(suspect, fingerprints, (suspects.length - 1) * furtherSuspectMs);
			if (retryAfterMs > 0) {
				return {isAdmitted: false, part: prompt.parts[fingerprints.indexOf(suspect)]!.key, retryAfterMs};
			}
		}

		if (suspects.length === 0) {
			return admitted;
		}

		telemetry.count('quarantine_trials_total');
		for (const suspect of suspects) {
			this.#trials.add(suspect);
		}

		return {
			isAdmitted: true,
			release: () => {
				for (const suspect of suspects) {
					this.#trials.delete(suspect);
				}
			},
		};
	}

	/**
	 * Records that a target crashed before it had begun to answer a prompt.
	 *
	 * @returns the most strikes that a part of the prompt has
	 */
	recordCrash(prompt: Prompt, target: string, incarnation: string): number {
		const {strikes} = this.#dependencies;
		let most = 0;
		for (const fingerprint of listFingerprints(prompt)) {
			strikes.recordCrash(fingerprint, target, incarnation);
			if (this.#trials.has(fingerprint)) {
				strikes.recordFailedTrial(fingerprint);
			}

			most = Math.max(most, strikes.countStrikes(fingerprint));
		}

		return most;
	}

	/** Records that a target has answered a prompt, which clears the strikes of its parts. */
	recordAnswer(prompt: Prompt): void {
		const {strikes} = this.#dependencies;
		if (strikes.size === 0) {
			return;
		}

		for (const fingerprint of listFingerprints(prompt)) {
			strikes.recordCompletion(fingerprint);
		}
	}

	/** Computes the time until a prompt with a quarantined part may run as a trial, in milliseconds; 0 if it may run now. */
	#computeRetryMs(suspect: string, fingerprints: readonly string[], extraDelayMs: number): number {
		const {clock, strikes, getRank} = this.#dependencies;
		const record = strikes.getQuarantine(suspect);
		if (!record) {
			return 0;
		}

		if (this.#trials.has(suspect)) {
			return trialRetryMs;
		}

		const isExplained = this.#countUnexplained(record, fingerprints) < strikes.strikeLimit;
		const delayMs = isExplained ? 0 : trialDelaysMs[Math.min(record.failedTrials, trialDelaysMs.length - 1)]! + extraDelayMs;
		const dueMs = clock.now() - record.lastStrikeMs - delayMs;
		if (dueMs < 0) {
			return -dueMs;
		}

		return getRank(`trial ${suspect}`) < 2 ** Math.floor(dueMs / rankDoublingMs) ? 0 : trialRetryMs;
	}

	/** Counts the crashes of a part that no quarantined part outside the prompt explains. */
	#countUnexplained({crashes}: StrikeRecord, fingerprints: readonly string[]): number {
		const explained = new Set<string>();
		for (const [fingerprint, other] of this.#dependencies.strikes.listQuarantines(maxExplanations)) {
			if (!fingerprints.includes(fingerprint)) {
				for (const crash of other.crashes) {
					explained.add(crash);
				}
			}
		}

		return [...crashes].filter(crash => !explained.has(crash)).length;
	}
}

/** Lists the fingerprints of a prompt's parts without the last one, which belongs to the request itself or to its session. A part has the same fingerprint for all customers, as it crashes targets whoever sends it. */
function listFingerprints({model, parts}: Prompt): readonly string[] {
	return parts.slice(0, Math.max(0, parts.length - 1)).slice(0, maxParts).map(({key}) => hash64(`${model}\n${key}`));
}
