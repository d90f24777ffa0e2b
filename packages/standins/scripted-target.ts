/** A target whose frames come from a test's scripts, one script for each attempt. */
import {
	fail, type CacheEventBatch, type LoadReport, type OrderReceipt, type Result, type TargetCall, type TargetFailure,
	type TargetFrame, type TargetLink,
} from '#core';

/** Yields the frames of one attempt. */
export type AttemptScript = (call: TargetCall, signal: AbortSignal) => AsyncIterable<TargetFrame> | Iterable<TargetFrame>;

/** Runs one script for each attempt, and the last script again for all further attempts. */
export class ScriptedTarget implements TargetLink {
	/** Received calls, in order. */
	readonly calls: TargetCall[] = [];
	/** Number of frames that the caller consumed. */
	frameCount = 0;
	/** Load report that the target returns. If it is undefined, report requests fail with a refused connection. */
	report: LoadReport | undefined = {
		incarnation: 'i', running: 0, queued: 0, queuedTokens: 0, prefillTokensPerMs: 8, tokenGapMs: 10, ageMs: 0, leaving: false, cacheSequence: 0, loading: false,
	};

	readonly #scripts: readonly AttemptScript[];

	constructor(...scripts: readonly AttemptScript[]) {
		this.#scripts = scripts;
	}

	async * run(call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
		const script = this.#scripts[Math.min(this.calls.length, this.#scripts.length - 1)]!;
		this.calls.push(call);
		for await (const frame of script(call, signal)) {
			this.frameCount++;
			yield frame;
		}
	}

	async readReport(): Promise<Result<LoadReport, TargetFailure>> {
		return this.report ? {ok: true, value: this.report} : fail({outcome: 'notSent', detail: 'ECONNREFUSED'});
	}

	async readCacheEvents(): Promise<Result<CacheEventBatch, TargetFailure>> {
		return fail({outcome: 'refused', detail: 'a scripted target has no prefix cache'});
	}

	async sendOrder(): Promise<Result<OrderReceipt, TargetFailure>> {
		return fail({outcome: 'refused', detail: 'a scripted target takes no orders'});
	}

	async close(): Promise<void> {
		// The stand-in holds no connection.
	}
}
