/** A caller's request after parsing and authentication, and the events of its answer. */
import type {Customer, Route, TargetPool} from './topology.ts';
import type {Refusal} from './refusal.ts';
import type {ToolCall} from './target.ts';

/** One message of a chat. */
export type ChatMessage = Readonly<{
	role: string;
	content: string;
}>;

/** Work for a model engine. */
export type ChatWork = Readonly<{
	kind: 'chat';
	messages: readonly ChatMessage[];
	maxTokens: number;
	/** Further fields of the caller's body, forwarded unchanged. */
	extra: Readonly<Record<string, unknown>>;
}>;

/** Work for a plain service. */
export type ServiceWork = Readonly<{
	kind: 'call';
	method: string;
	/** Path with the query, starting with a slash. */
	path: string;
	contentType?: string;
	body: Uint8Array;
}>;

/** The work that a request asks for. */
export type Work = ChatWork | ServiceWork;

/** An authenticated request with its route and pool, ready for placement. */
export type RoutedRequest = Readonly<{
	id: string;
	customer: Customer;
	route: Route;
	pool: TargetPool;
	work: Work;
	/** Whether the request may run more than once. */
	isRepeatable: boolean;
	/** The caller's `Idempotency-Key`. */
	idempotencyKey?: string;
	/** Monotonic arrival time, in milliseconds. */
	arrivedMs: number;
	/** Monotonic time after which the caller no longer waits, in milliseconds. */
	deadlineMs: number;
}>;

/** Token counts of an answer. */
export type Usage = Readonly<{
	promptTokens: number;
	completionTokens: number;
	cachedTokens: number;
}>;

/**
 * Events of an answer, in the order in which the caller receives them. A
 * complete answer closes with `end`; any other close is a failure. `isReplayed`
 * marks the answer to an earlier request with the same `Idempotency-Key`.
 */
export type AnswerEvent
	= | Readonly<{kind: 'head'; target: string; status: number; contentType?: string; cachedTokens: number; isReplayed: boolean}>
		| Readonly<{kind: 'data'; bytes: Uint8Array}>
		| Readonly<{kind: 'tool'; call: ToolCall}>
		| Readonly<{kind: 'usage'; usage: Usage}>
		| Readonly<{kind: 'end'; finish: string}>
		| Readonly<{kind: 'refused'; refusal: Refusal}>;
