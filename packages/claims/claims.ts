/**
 * Runs requests that may not be repeated at most once each, over all instances.
 * One job per key and instance claims the key on the platform, runs the request
 * and records what became of it; re-sends follow the job or read the record.
 * docs/design/at-most-once.md gives the reasons.
 */
import {acquireClaim} from './_acquire.ts';
import type {ClaimJob, ClaimParts} from './_job.ts';
import {LiveAnswer} from './_live-answer.ts';
import {isLast} from './_outcome.ts';
import {OwnerWatch, type IsLive} from './_owner-watch.ts';
import {recordOutcome} from './_record-outcome.ts';
import {makeClaimKey, makeFingerprint, type ClaimOwner} from './record.ts';
import type {Clock} from '#clock';
import {
	makeRefusal, type AnswerEvent, type Random, type RoutedRequest,
} from '#core';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

/** Runs a request on targets until `signal` aborts. */
export type Execute = (signal: AbortSignal) => AsyncIterable<AnswerEvent>;

/** What claims work with. */
export type ClaimsDeps = Readonly<{
	clock: Clock;
	random: Random;
	platform: ObjectStore;
	telemetry: Telemetry;
	/** This instance. */
	owner: ClaimOwner;
	/** Whether another instance's process is believed to be live. */
	isLive: IsLive;
}>;

/** Options of {@link Claims}. */
export type ClaimsOptions = Readonly<{
	/** How long a record is kept, in milliseconds. Default: 24 hours. */
	retentionMs?: number;
	/** How long a claim is tried while the platform fails, in milliseconds. Default: 1500. */
	maxClaimMs?: number;
	/** How long an owner must be missing to count as gone, in milliseconds. Default: 10 000. */
	ownerGoneMs?: number;
	/** Jobs that run or wait to be recorded at the same time. Default: 10 000. */
	maxJobs?: number;
	/** How long {@link Claims.stop} waits for jobs, in milliseconds. Default: 5000. */
	stopMs?: number;
}>;

const dayMs = 86_400_000;
const fullRetryMs = 1000;

/** Claims of one instance. */
export class Claims {
	readonly #parts: ClaimParts;
	readonly #options: ClaimsOptions;
	readonly #jobs = new Map<string, ClaimJob>();
	readonly #tasks = new Set<Promise<void>>();
	readonly #stopping = new AbortController();

	constructor(deps: ClaimsDeps, options: ClaimsOptions = {}) {
		this.#options = options;
		this.#parts = {
			...deps,
			owners: new OwnerWatch(deps.clock, deps.isLive, options.ownerGoneMs ?? 10_000),
			retentionMs: options.retentionMs ?? dayMs,
			maxClaimMs: options.maxClaimMs ?? 1500,
			stopping: this.#stopping.signal,
		};
	}

	/** Requests that run, or whose outcome is not recorded yet. */
	get size(): number {
		return this.#jobs.size;
	}

	/**
	 * Runs a request; one that may be repeated goes straight to `execute`. Any
	 * other goes on running when its caller leaves, so that a re-send finds its
	 * answer.
	 */
	async * run(request: RoutedRequest, signal: AbortSignal, execute: Execute): AsyncGenerator<AnswerEvent> {
		if (request.repeatable || request.idempotencyKey === undefined) {
			yield * execute(signal);
			return;
		}

		const key = makeClaimKey(request.customer.name, request.idempotencyKey);
		const fingerprint = makeFingerprint(request);
		const running = this.#jobs.get(key);
		if (running) {
			yield * this.#follow(running, fingerprint, signal);
			return;
		}

		if (this.#jobs.size >= (this.#options.maxJobs ?? 10_000) || this.#stopping.signal.aborted) {
			this.#count('full');
			yield {kind: 'refused', refusal: makeRefusal('claims_unavailable', {retryAfterMs: fullRetryMs})};
			return;
		}

		yield * this.#start({
			request, key, fingerprint, answer: new LiveAnswer(),
		}, execute).read(signal);
	}

	/** Waits for jobs for a bounded time, then gives up recording the rest. */
	async stop(): Promise<void> {
		const limit = new AbortController();
		const jobs = Promise.all(this.#tasks);
		await Promise.race([jobs, this.#parts.clock.sleep(this.#options.stopMs ?? 5000, limit.signal)]);
		limit.abort();
		this.#stopping.abort();
		await Promise.all(this.#tasks);
	}

	async * #follow(job: ClaimJob, fingerprint: string, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
		if (job.fingerprint !== fingerprint) {
			this.#count('reused');
			yield {kind: 'refused', refusal: makeRefusal('idempotency_key_reused')};
			return;
		}

		this.#count('joined');
		for await (const event of job.answer.read(signal)) {
			yield event.kind === 'head' ? {...event, replayed: true} : event;
		}
	}

	#start(job: ClaimJob, execute: Execute): LiveAnswer {
		this.#jobs.set(job.key, job);
		const task = this.#runJob(job, execute);
		this.#tasks.add(task);
		void task.then(() => {
			this.#tasks.delete(task);
		});
		return job.answer;
	}

	async #runJob(job: ClaimJob, execute: Execute): Promise<void> {
		const acquired = await acquireClaim(this.#parts, job);
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
		await recordOutcome(this.#parts, job, acquired);
		this.#jobs.delete(job.key);
	}

	/** Runs the request until its deadline; the answer always gets its last event. */
	async #execute({request, answer}: ClaimJob, execute: Execute): Promise<void> {
		const {clock, stopping} = this.#parts;
		const controller = new AbortController();
		const cancel = clock.after(request.deadlineMs - clock.now(), () => {
			controller.abort();
		});
		for await (const event of execute(AbortSignal.any([controller.signal, stopping]))) {
			answer.push(event);
		}

		cancel();
		if (!isLast(answer.events.at(-1))) {
			answer.push({kind: 'refused', refusal: makeRefusal('deadline_exceeded')});
		}
	}

	#count(result: string): void {
		this.#parts.telemetry.count('claims_total', {result});
	}
}
