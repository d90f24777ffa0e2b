/** Classifies the head of an answer by comparing it with the assumptions under which its target was chosen. */
import type {Placement} from './placer.ts';

/** The head of an answer, which the target sends before the first byte of the body. */
export type AnswerHead = Readonly<{incarnation: string; weights?: string; cachedTokens: number}>;

/**
 * What the router does with an answer.
 *
 * - `trust`: it delivers the answer and records the cached keys that its head implies
 * - `notForCache`: it delivers the answer but records no cached keys from it
 * - `placeAgain`: it does not deliver the answer, which comes from other weights, and places the request again
 */
export type HeadVerdict = 'trust' | 'notForCache' | 'placeAgain';

/** Input of {@link classifyHead} besides the placement and the head. */
export type HeadContext = Readonly<{
	/** Current incarnation of the target; empty if unknown. */
	currentIncarnation: string;
	/** Whether no byte was delivered yet and the request may run again. */
	canRepeat: boolean;
}>;

/**
 * Classifies the head of an answer. If its incarnation differs from the current
 * one, the cache figures are ignored: a newer incarnation will appear in the next
 * load report, and the cache of an older one no longer exists.
 */
export function classifyHead(placement: Pick<Placement, 'incarnation' | 'weights' | 'hasAlternative'>, head: AnswerHead, context: HeadContext): HeadVerdict {
	const hasOtherWeights = placement.weights !== undefined && head.weights !== placement.weights;
	if (hasOtherWeights) {
		return context.canRepeat && placement.hasAlternative ? 'placeAgain' : 'notForCache';
	}

	const incarnation = context.currentIncarnation === '' ? placement.incarnation : context.currentIncarnation;
	return incarnation === '' || incarnation === head.incarnation ? 'trust' : 'notForCache';
}
