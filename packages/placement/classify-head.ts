/** What the head of an answer is good for, given what was assumed when its target was chosen. */
import type {Placement} from './placer.ts';

/** What an answer states before its first byte. */
export type AnswerHead = Readonly<{incarnation: string; weights?: string; cachedTokens: number}>;

/**
 * - `trust`: the answer is good, and so is what it says of the cache
 * - `notForCache`: the answer is good, but says nothing of the entries that are known now
 * - `placeAgain`: the answer comes from other weights and must not be delivered
 */
export type HeadVerdict = 'trust' | 'notForCache' | 'placeAgain';

/** What {@link classifyHead} depends on besides the answer. */
export type HeadContext = Readonly<{
	/** Incarnation by which the target is known now; empty when unknown. */
	known: string;
	/** Whether no byte was delivered and the request may run again. */
	mayRepeat: boolean;
}>;

/**
 * Decides what an answer is good for. Another incarnation than the one known
 * now is either newer, then its report is about to say so, or older, then its
 * entries are gone; in both cases its cache figures are left out.
 */
export function classifyHead(placement: Pick<Placement, 'incarnation' | 'weights' | 'hasAlternative'>, head: AnswerHead, context: HeadContext): HeadVerdict {
	const hasOtherWeights = placement.weights !== undefined && head.weights !== placement.weights;
	if (hasOtherWeights) {
		return context.mayRepeat && placement.hasAlternative ? 'placeAgain' : 'notForCache';
	}

	const known = context.known === '' ? placement.incarnation : context.known;
	return known === '' || known === head.incarnation ? 'trust' : 'notForCache';
}
