/** Writes to callers that may read slowly or not at all. */
import type {Response} from 'express';
import type {Clock} from '#clock';

/** Options of writes to callers. */
export type WriteOptions = Readonly<{
	clock: Clock;
	/** Time after which a caller that reads nothing is disconnected, in milliseconds. */
	stallTimeoutMs: number;
}>;

/** Writes one chunk and waits while the caller reads too slowly; disconnects a caller that has stopped reading. */
export async function writeWithBackpressure(res: Response, chunk: string, {clock, stallTimeoutMs}: WriteOptions): Promise<void> {
	if (res.destroyed || res.write(chunk)) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			cancel();
			res.off('drain', finish);
			res.off('close', finish);
			resolve();
		};

		const cancel = clock.setTimer(stallTimeoutMs, () => {
			res.destroy();
			finish();
		});
		res.on('drain', finish);
		res.on('close', finish);
	});
}
