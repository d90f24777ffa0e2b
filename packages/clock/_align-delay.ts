/**
 * Aligns one-shot timers, as the timer slack of Linux does, so that timers which
 * are due at about the same time wake the process once.
 */

/** Part of a delay by which a timer may fire late. */
const slackRatio = 1 / 8;

/** Maximum time by which a timer may fire late, in milliseconds. */
const maxSlackMs = 64;

/**
 * Lengthens a delay so that it ends at a multiple of the slack: a power of two, so
 * that shorter and longer delays share their ends.
 *
 * @param nowMs time on the clock whose multiples are used, in milliseconds
 */
export function alignDelay(delayMs: number, nowMs: number): number {
	const slackMs = Math.min(maxSlackMs, 2 ** Math.floor(Math.log2(delayMs * slackRatio)));
	if (!(slackMs > 1) || !Number.isFinite(delayMs)) {
		return delayMs;
	}

	return (Math.ceil((nowMs + delayMs) / slackMs) * slackMs) - nowMs;
}
