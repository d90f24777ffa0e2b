/** Sends a workload in an open loop: requests start when they are due, whatever the earlier ones do. */
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
	/** How long requests arrive, in milliseconds. */
	durationMs: number;
	/** Promised time to the first token, in milliseconds. Default: 1800. */
	promisedMs?: number;
	/** Time for which the last requests are waited for, in milliseconds. Default: 30 000. */
	graceMs?: number;
	/** Called about once a second with the requests sent and answered so far. Default: nothing is shown. */
	showProgress?: (sent: number, answered: number, elapsedMs: number) => void;
}>;

const progressEveryMs = 1000;
const defaultGraceMs = 30_000;
const defaultPromisedMs = 1800;

/** Runs the load and reports. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
	const {clock, workload, durationMs} = options;
	const recorder = new LoadRecorder(options.promisedMs ?? defaultPromisedMs);
	const controller = new AbortController();
	const pending = new Set<Promise<void>>();
	const startMs = clock.now();
	const stopProgress = clock.subscribe(progressEveryMs, () => {
		options.showProgress?.(recorder.sent, recorder.answered, clock.now() - startMs);
	});

	const sendOne = async (request: LoadRequest) => {
		recorder.countSent(request);
		recorder.record(request, await options.send(request, controller.signal), startMs);
	};

	for (let request = workload.next(); request.atMs < durationMs; request = workload.next()) {
		const delayMs = startMs + request.atMs - clock.now();
		if (delayMs > 0) {
			await clock.sleep(delayMs);
		}

		const work = sendOne(request);
		pending.add(work);
		void work.finally(() => {
			pending.delete(work);
		});
	}

	const cancelGrace = clock.after(options.graceMs ?? defaultGraceMs, () => {
		controller.abort();
	});
	await Promise.all(pending);
	cancelGrace();
	stopProgress();
	return recorder.report(durationMs / 1000);
}
