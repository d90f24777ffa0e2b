/** The closed set of outcomes that an attempt on a target can have. */

/**
 * - `notSent`: no byte of the request reached the target, as a failed connect proves
 * - `refused`: the target's contract says that it did not run the request
 * - `answered`: the whole answer arrived
 * - `failed`: the target ran the request, wholly or in part, and reported a failure
 * - `unknown`: the connection was lost; the request may have run
 */
export const attemptOutcomes = ['notSent', 'refused', 'answered', 'failed', 'unknown'] as const;

/** Outcome of one attempt. */
export type AttemptOutcome = (typeof attemptOutcomes)[number];
