/** Sends a workload in an open loop: each request is sent at its scheduled arrival, even while earlier ones are unanswered. */
import {LoadRecorder, type LoadOutcome, type LoadReport} from './report.ts';
import type {LoadRequest, Workload} from './workload.ts';
import type {Clock} from '#clock';

/** Sends one request and waits for its outcome; never throws. */
export type LoadSender = (request: LoadRequest, signal: AbortSignal) => Promise<LoadOutcome>;

/** Options of {@link runLoad}. */
export type LoadOptions = Readonly<{
	clock: Clock;
	workload: Workload;
	send: LoadSender;
	/** Time during which requests are sent, in milliseconds. */
	durationMs: number;
	/** Promised time to the first token, in milliseconds. Default: 1800. */
	promisedMs?: number;
	/** Maximum time to wait for responses once all requests are sent, in milliseconds. Then they are aborted. Default: 30 000. */
	graceMs?: number;
	/** Called about once a second with the numbers of requests sent and answered so far. Default: no progress is shown. */
	showProgress?: (sent: number, answered: number, elapsedMs: number) => void;
}>;

const progressIntervalMs = 1000;
const defaultGraceMs = 30_000;
const defaultPromisedMs = 1800;

/** Sends the workload for the given duration, waits for the outcomes and returns the report. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
	const {clock, workload, durationMs} = options;
	const recorder = new LoadRecorder(options.promisedMs ?? defaultPromisedMs);
	const abortController = new AbortController();
	const pending = new Set<Promise<void>>();
	const startMs = clock.now();
	const stopProgress = clock.subscribe(progressIntervalMs, () => {
		options.showProgress?.(recorder.sent, recorder.answered, clock.now() - startMs);
	});

	const sendRequest = async (request: LoadRequest) => {
		recorder.recordSent(request);
		recorder.recordOutcome(request, await options.send(request, abortController.signal), startMs);
	};

	for (let request = workload.next(); request.arrivalMs < durationMs; request = workload.next()) {
		const delayMs = startMs + request.arrivalMs - clock.now();
		if (delayMs > 0) {
			await clock.sleep(delayMs);
		}

		const sending = sendRequest(request);
		pending.add(sending);
		void sending.finally(() => {
			pending.delete(sending);
		});
	}

	const cancelGraceTimer = clock.setTimer(options.graceMs ?? defaultGraceMs, () => {
		abortController.abort();
	});
	await Promise.all(pending);
	cancelGraceTimer();
	stopProgress();
	return recorder.createReport(durationMs / 1000);
}
