/**
 * Runs each non-repeatable request at most once across all instances. For each
 * key, an instance has one job that claims the key on the platform, runs the
 * request and records its outcome. A re-send joins the running job of its
 * instance, or gets its answer from the record.
 * docs/design/at-most-once.md gives the reasons for this design.
 */
import {acquireClaim} from './_acquire-claim.ts';
import type {ClaimJob, ClaimContext} from './_job.ts';
import {LiveAnswer} from './_live-answer.ts';
import {isFinalEvent} from './_final-record.ts';
import {OwnerMonitor, type IsLive} from './_owner-monitor.ts';
import {recordOutcome} from './_record-outcome.ts';
import {createClaimKey, computeFingerprint, type ClaimOwner} from './record.ts';
import type {Clock} from '#clock';
import {
	createRefusal, type AnswerEvent, type Random, type RoutedRequest,
} from '#core';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

/** Runs a request on targets until `signal` aborts. */
export type Execute = (signal: AbortSignal) => AsyncIterable<AnswerEvent>;

export type ClaimsDependencies = Readonly<{
	clock: Clock;
	random: Random;
	platform: ObjectStore;
	telemetry: Telemetry;
	/** This instance, as the owner of the claims that it acquires. */
	owner: ClaimOwner;
	/** Returns whether the owner's process is believed to be live. */
	isLive: IsLive;
}>;

/** Options of {@link Claims}. */
export type ClaimsOptions = Readonly<{
	/** Time after the claim at which its record expires, in milliseconds. Default: 24 hours. */
	retentionMs?: number;
	/** Maximum time for retrying a claim while the platform fails, in milliseconds. Default: 1500. */
	acquireTimeoutMs?: number;
	/** Time for which an owner must be missing before its claims count as orphaned, in milliseconds. Default: 10 000. */
	ownerTimeoutMs?: number;
	/** Maximum number of jobs that run or wait for their outcome to be recorded. Default: 10 000. */
	maxJobs?: number;
	/** Maximum time for which {@link Claims.stop} waits for jobs, in milliseconds. Default: 5000. */
	stopTimeoutMs?: number;
}>;

const dayMs = 86_400_000;
const overloadRetryAfterMs = 1000;

/** Runs the requests of one instance and holds its claims. */
export class Claims {
	readonly #context: ClaimContext;
	readonly #options: ClaimsOptions;
	readonly #jobs = new Map<string, ClaimJob>();
	readonly #tasks = new Set<Promise<void>>();
	readonly #stopping = new AbortController();
	readonly #waiting = new AbortController();

	constructor(dependencies: ClaimsDependencies, options: ClaimsOptions = {}) {
		this.#options = options;
		this.#context = {
			...dependencies,
			ownerMonitor: new OwnerMonitor(dependencies.clock, dependencies.isLive, options.ownerTimeoutMs ?? 10_000),
			retentionMs: options.retentionMs ?? dayMs,
			acquireTimeoutMs: options.acquireTimeoutMs ?? 1500,
			stopSignal: this.#stopping.signal,
			waitSignal: AbortSignal.any([this.#stopping.signal, this.#waiting.signal]),
		};
	}

	/** Number of requests that are running or whose outcome is not recorded yet. */
	get jobCount(): number {
		return this.#jobs.size;
	}

	/** Counts the jobs that go on without a caller, until their outcome is recorded. */
	countDetached(): number {
		return [...this.#jobs.values()].filter(job => !job.answer.hasReader).length;
	}

	/** Refuses the requests that wait for their claim, or for the run of another instance. */
	refuseWaiting(): void {
		this.#waiting.abort();
	}

	/**
	 * Runs a request and yields its answer. Calls `execute` directly for a
	 * repeatable request or one without an idempotency key. Any other request
	 * continues after `signal` aborts, so that a re-send finds its answer.
	 */
	async * run(request: RoutedRequest, signal: AbortSignal, execute: Execute): AsyncGenerator<AnswerEvent> {
		if (request.isRepeatable || request.idempotencyKey === undefined) {
			yield * execute(signal);
			return;
		}

		const key = createClaimKey(request.customer.name, request.idempotencyKey);
		const fingerprint = computeFingerprint(request);
		const existingJob = this.#jobs.get(key);
		if (existingJob) {
			yield * this.#joinJob(existingJob, fingerprint, signal);
			return;
		}

		if (this.#jobs.size >= (this.#options.maxJobs ?? 10_000) || this.#stopping.signal.aborted) {
			this.#count('full');
			yield {kind: 'refused', refusal: createRefusal('claims_unavailable', {retryAfterMs: overloadRetryAfterMs})};
			return;
		}

		yield * this.#startJob({
			request, key, fingerprint, answer: new LiveAnswer(),
		}, execute).read(signal);
	}

	/** Waits for jobs to finish for a bounded time, then aborts the remaining ones; their outcome may stay unrecorded. */
	async stop(): Promise<void> {
		const timeout = new AbortController();
		const jobs = Promise.all(this.#tasks);
		await Promise.race([jobs, this.#context.clock.sleep(this.#options.stopTimeoutMs ?? 5000, timeout.signal)]);
		timeout.abort();
		this.#stopping.abort();
		await Promise.all(this.#tasks);
	}

	async * #joinJob(job: ClaimJob, fingerprint: string, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
		if (job.fingerprint !== fingerprint) {
			this.#count('reused');
			yield {kind: 'refused', refusal: createRefusal('idempotency_key_reused')};
			return;
		}

		this.#count('joined');
		for await (const event of job.answer.read(signal)) {
			yield event.kind === 'head' ? {...event, isReplayed: true} : event;
		}
	}

	#startJob(job: ClaimJob, execute: Execute): LiveAnswer {
		this.#jobs.set(job.key, job);
		const task = this.#runJob(job, execute);
		this.#tasks.add(task);
		void task.then(() => {
			this.#tasks.delete(task);
		});
		return job.answer;
	}

	async #runJob(job: ClaimJob, execute: Execute): Promise<void> {
		const acquired = await acquireClaim(this.#context, job);
		this.#count(acquired.result);
		if (acquired.kind === 'done') {
			for (const event of acquired.events) {
				job.answer.push(event);
			}

			job.answer.close();
			this.#jobs.delete(job.key);
			return;
		}

		await this.#execute(job, execute);
		job.answer.close();
		await recordOutcome(this.#context, job, acquired);
		this.#jobs.delete(job.key);
	}

	/** Runs the request until its deadline and ensures that the answer has a final event. */
	async #execute({request, answer}: ClaimJob, execute: Execute): Promise<void> {
		const {clock, stopSignal} = this.#context;
		const controller = new AbortController();
		const cancelTimer = clock.setTimer(request.deadlineMs - clock.now(), () => {
			controller.abort();
		});
		for await (const event of execute(AbortSignal.any([controller.signal, stopSignal]))) {
			answer.push(event);
		}

		cancelTimer();
		if (!isFinalEvent(answer.events.at(-1))) {
			answer.push({kind: 'refused', refusal: createRefusal('deadline_exceeded')});
		}
	}

	#count(result: string): void {
		this.#context.telemetry.count('claims_total', {result});
	}
}
