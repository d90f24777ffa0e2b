/** Finds out whether a connection was lost because the target's process died. */
import type {Clock} from '#clock';
import type {TargetLink} from '#core';

const probeMs = 300;

/**
 * Asks the target for a report over a connection of its own.
 *
 * @param incarnation process that ran the attempt; empty when it is not known
 * @returns whether connects are refused or another process answers
 */
export async function isCrashed(link: TargetLink, incarnation: string, clock: Clock, signal: AbortSignal): Promise<boolean> {
	const limit = new AbortController();
	const cancel = clock.after(probeMs, () => {
		limit.abort();
	});
	const report = await link.readReport(AbortSignal.any([signal, limit.signal]));
	cancel();
	if (report.ok) {
		return incarnation !== '' && report.value.incarnation !== incarnation;
	}

	return report.error.outcome === 'notSent';
}
