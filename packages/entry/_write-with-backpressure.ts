/** Writes to callers that may read slowly or not at all. */
import type {Response} from 'express';
import type {Clock} from '#clock';

/** How long a write may wait. */
export type WriteOptions = Readonly<{
	clock: Clock;
	/** Time after which a caller that reads nothing is cut off, in milliseconds. */
	stallMs: number;
}>;

/** Writes one chunk, and waits while the caller reads too slowly; cuts the connection of one that has stopped reading. */
export async function writePatiently(res: Response, chunk: string, {clock, stallMs}: WriteOptions): Promise<void> {
	if (res.destroyed || res.write(chunk)) {
		return;
	}

	await new Promise<void>(resolve => {
		const settle = () => {
			cancel();
			res.off('drain', settle);
			res.off('close', settle);
			resolve();
		};

		const cancel = clock.after(stallMs, () => {
			res.destroy();
			settle();
		});
		res.on('drain', settle);
		res.on('close', settle);
	});
}
