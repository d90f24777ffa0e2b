/**
 * The interface to targets: calls and orders to them, and the frames, reports
 * and receipts that they return. Each wire format has one adapter that
 * implements {@link TargetConnector}.
 */
import type {AttemptOutcome} from './outcome.ts';
import type {Result} from './result.ts';
import type {Usage, Work} from './request.ts';
import type {Target, TargetPool} from './topology.ts';

/** One attempt to run a request on a target. */
export type TargetCall = Readonly<{
	/** Unique per attempt; the answer must echo it. */
	attemptId: string;
	requestId: string;
	customer: string;
	work: Work;
	/** Model and weights version that the answer must state; absent for plain services. */
	model?: string;
	weights?: string;
	/** Incarnation that the router expects. A target with another incarnation may still answer, and states its own. */
	incarnation?: string;
	/** Keys of the prompt's cache pieces, in the order of the prompt. */
	chain: readonly string[];
	/** Size of each piece of `chain`, in tokens. */
	pieceTokens: readonly number[];
	/** Requests with a larger number go first. */
	priority: number;
	/** Time for which the caller still waits, in milliseconds. */
	remainingMs: number;
	/** Bytes of answer text that were already delivered; the target continues after them. */
	resumeOffset: number;
	/** Text already delivered by another target, to continue from; empty for a first attempt. */
	deliveredText: string;
	/** Whether the connection must be new, so that a failed connect proves that nothing was sent. */
	shouldUseNewConnection: boolean;
	/** Keys of the cache pieces to import from the KV cache store before prefill. */
	importKeys: readonly string[];
}>;

/** A complete tool call, numbered within its answer. */
export type ToolCall = Readonly<{
	index: number;
	id: string;
	name: string;
	arguments: string;
}>;

/** Frames of an answer, in the order in which the target sends them. The last one is `end` or `fault`; the iteration never throws. */
export type TargetFrame
	= | Readonly<{
		kind: 'head';
		attemptId: string;
		/** HTTP status of a plain service; 200 for engines. */
		status: number;
		contentType?: string;
		/** Changes each time the target process starts. */
		incarnation: string;
		weights?: string;
		promptTokens: number;
		cachedTokens: number;
	}>
	/** Answer bytes from `offset`, counted from the start of the answer's text. */
	| Readonly<{kind: 'data'; attemptId: string; offset: number; bytes: Uint8Array}>
	| Readonly<{kind: 'tool'; attemptId: string; call: ToolCall}>
	| Readonly<{kind: 'usage'; attemptId: string; usage: Usage}>
	| Readonly<{kind: 'end'; attemptId: string; finish: string}>
	| Readonly<{kind: 'fault'; outcome: Exclude<AttemptOutcome, 'answered'>; detail: string; retryAfterMs?: number}>;

/** Why a report, cache events or the receipt of an order could not be read. */
export type TargetFailure = Readonly<{
	outcome: Exclude<AttemptOutcome, 'answered'>;
	detail: string;
}>;

/** A target's load, measured `ageMs` before the report was sent. */
export type LoadReport = Readonly<{
	incarnation: string;
	/** Weights version served, if the target is an engine with weights loaded. */
	weights?: string;
	model?: string;
	/** Number of running requests. */
	running: number;
	/** Number of waiting requests. */
	queued: number;
	/** Number of tokens in queued prompts that are not in the target's cache. */
	queuedTokens: number;
	/** Measured prefill speed, in tokens per millisecond. */
	prefillTokensPerMs: number;
	/** Measured time between tokens at the present batch, in milliseconds. */
	tokenGapMs: number;
	/** Age of the measurements when the report was sent, in milliseconds. */
	ageMs: number;
	/** Whether the target is draining. */
	leaving: boolean;
	/** Sequence number of the newest cache event. */
	cacheSequence: number;
	/** Whether the target is loading weights. */
	loading: boolean;
}>;

/** A change of a target's prefix cache. */
export type CacheEvent = Readonly<{
	sequence: number;
	kind: 'stored' | 'evicted' | 'cleared';
	/** Piece keys; empty for `cleared`. */
	keys: readonly string[];
}>;

/** Cache events after a sequence number. */
export type CacheEventBatch = Readonly<{
	incarnation: string;
	events: readonly CacheEvent[];
	/** Sequence number of the newest event that the target has published. */
	sequence: number;
}>;

/** An order to an engine. */
export type EngineOrder = Readonly<{
	kind: 'load' | 'unload' | 'drain' | 'role' | 'adapter';
	model: string;
	/** Weights version, role or adapter, by kind. */
	value: string;
	/** Fencing token; a larger one supersedes smaller ones. */
	fencing: number;
	/** Identifies the order if its answer is lost. */
	orderId: string;
}>;

/** A target's answer to an order. */
export type OrderReceipt = Readonly<{
	accepted: boolean;
	/** Largest fencing token that the target has received; 0 if it checks none. */
	fencing: number;
	/** Identifier of the newest order that took effect. */
	lastOrderId: string;
}>;

/** A handle to one target. Opening it performs no I/O. */
export type TargetLink = Readonly<{
	run(call: TargetCall, signal: AbortSignal): AsyncIterable<TargetFrame>;
	readReport(signal: AbortSignal): Promise<Result<LoadReport, TargetFailure>>;
	/** Reads the cache events whose sequence number is larger than `after`. */
	readCacheEvents(after: number, signal: AbortSignal): Promise<Result<CacheEventBatch, TargetFailure>>;
	sendOrder(order: EngineOrder, signal: AbortSignal): Promise<Result<OrderReceipt, TargetFailure>>;
	close(): Promise<void>;
}>;

/** Opens handles to targets. */
export type TargetConnector = Readonly<{
	open(pool: TargetPool, target: Target): TargetLink;
}>;
