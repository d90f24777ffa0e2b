/** The interface between the relay and the HTTP dialect of targets. */
import type {AnswerHead, HeaderLines} from './exchange.ts';
import type {TargetLoad} from './target-state.ts';
import type {RelayRequest, RelayTarget} from '#core';

/** What an attempt adds to its request. */
export type AttemptFacts = Readonly<{
	target: RelayTarget;
	/** Time that is left for the answer, in milliseconds. */
	remainingMs: number;
	/** Id of the last event that the caller has, where a stream is resumed. */
	lastEventId: string | undefined;
	/** Scope within which cached parts of the prompt may be shared, for these weights; absent where the request is no prompt. */
	cacheScope: string | undefined;
	/** Version of the weights that alone may run the request; absent where any may. */
	weights: number | undefined;
	/** `host:port` of a target from which parts of the prompt may be fetched. */
	fetchFrom: string | undefined;
	/** 0 is the most urgent; absent where the target's default holds. */
	urgency: number | undefined;
}>;

/** The head of an answer, understood. */
export type TargetAnswer = Readonly<{
	status: number;
	/** Header lines that the caller gets. */
	headers: HeaderLines;
	/** Id of the request that is answered, as the target states it. */
	requestId: string | undefined;
	/** Whether the answer carries the target's signature. */
	isSigned: boolean;
	/** Whether the target states that it did not run the request and never will. */
	hasNotRun: boolean;
	/** Whether the target is another one than was expected, or serves other weights; it has not run the request. */
	isMisdirected: boolean;
	/** Identity of the target, where it states one. */
	targetId: string | undefined;
	load: TargetLoad | undefined;
	/** Version of the weights that the answer is made with. */
	weights: number | undefined;
}>;

/** Writes heads of requests and reads heads of answers. */
export type TargetDialect = Readonly<{
	encodeHead(request: RelayRequest, facts: AttemptFacts): HeaderLines;
	decodeHead(head: AnswerHead): TargetAnswer;
}>;
