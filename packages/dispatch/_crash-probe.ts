/** Probes whether a connection was lost because the target's process died. */
import type {Clock} from '#clock';
import type {TargetLink} from '#core';

const probeTimeoutMs = 300;

/**
 * Requests a report from the target over a separate connection.
 *
 * @param incarnation process that ran the attempt; empty when it is not known
 * @returns whether the target refuses connections or another process answers
 */
export async function probeCrash(link: TargetLink, incarnation: string, clock: Clock, signal: AbortSignal): Promise<boolean> {
	const timeout = new AbortController();
	const cancel = clock.setTimer(probeTimeoutMs, () => {
		timeout.abort();
	});
	const report = await link.readReport(AbortSignal.any([signal, timeout.signal]));
	cancel();
	if (report.ok) {
		return incarnation !== '' && report.value.incarnation !== incarnation;
	}

	return report.error.outcome === 'notSent';
}
