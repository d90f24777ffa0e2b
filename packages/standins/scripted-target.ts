/** A target whose frames a test writes out, attempt by attempt. */
import {
	fail, type CacheEventBatch, type LoadReport, type OrderReceipt, type Result, type TargetCall, type TargetFailure,
	type TargetFrame, type TargetLink,
} from '#core';

/** Writes the frames of one attempt. */
export type AttemptScript = (call: TargetCall, signal: AbortSignal) => AsyncIterable<TargetFrame> | Iterable<TargetFrame>;

/** Plays one script for each attempt; the last one again for all further attempts. */
export class ScriptedTarget implements TargetLink {
	/** Calls that arrived, in order. */
	readonly calls: TargetCall[] = [];
	/** Frames that were read. */
	frames = 0;
	/** Load report that the target gives; without one, connects are refused. */
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
			this.frames++;
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
		// There is no connection.
	}
}
