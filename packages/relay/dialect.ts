/** The interface between the relay and the HTTP dialect of targets. */
import type {AnswerHead, HeaderLines} from './exchange.ts';
import type {TargetLoad} from './target-state.ts';
import type {RelayRequest, RelayTarget} from '#core';

/** Parameters of an attempt that are encoded in the head of its request. */
export type AttemptParameters = Readonly<{
	target: RelayTarget;
	/** Time until the deadline of the request, in milliseconds. */
	remainingMs: number;
	/** Id of the last event that the caller has; present if a stream is resumed. */
	lastEventId: string | undefined;
	/** Scope within which cached parts of the prompt may be shared, for these weights; absent if the request is not a prompt. */
	cacheScope: string | undefined;
	/** The only version of the weights that may run the request; absent if any version may. */
	weights: number | undefined;
	/** `host:port` of a target or store from which parts of the prompt may be fetched. */
	fetchFrom: string | undefined;
	/** `host:port` of the store that is to keep the parts which the target reads. */
	keepIn: string | undefined;
	/** 0 is the most urgent; absent if the target's default applies. */
	urgency: number | undefined;
}>;

/** What a target states about itself in an answer; a field that it does not state is absent. */
export type TargetStatement = Readonly<{
	/** Requests per second that the target now takes from all instances together. */
	perSecond?: number | undefined;
	/** Whether the target is about to stop and wants no further requests. */
	isLeaving?: boolean | undefined;
	/** Number of requests a second, from all instances together, that the target can refuse for want of room without failing. */
	maxRefusals?: number | undefined;
	/** Time for which the target, which has refused the request, wants nothing from this instance, in milliseconds. */
	restMs?: number | undefined;
	/** Names of the fields that the target states in a form that cannot be read. */
	malformed?: readonly string[];
}>;

/** Decoded head of an answer. */
export type TargetAnswer = Readonly<{
	status: number;
	/** Header lines that are forwarded to the caller. */
	headers: HeaderLines;
	/** Id of the answered request, as the target states it. */
	requestId: string | undefined;
	/** Whether the answer carries the target's signature. */
	isSigned: boolean;
	/** Whether the target states that it has not run the request and never will. */
	hasNotRun: boolean;
	/** Whether the target is not the expected one or serves other weights; it has not run the request. */
	isMisdirected: boolean;
	/** Id of the target, if it states one. */
	targetId: string | undefined;
	load: TargetLoad | undefined;
	/** Version of the weights that produced the answer. */
	weights: number | undefined;
	statement: TargetStatement;
}>;

/** Encodes heads of requests and decodes heads of answers. */
export type TargetDialect = Readonly<{
	encodeHead(request: RelayRequest, parameters: AttemptParameters): HeaderLines;
	decodeHead(head: AnswerHead): TargetAnswer;
}>;
