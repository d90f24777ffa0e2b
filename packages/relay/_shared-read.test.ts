import t from 'tap';
import {SharedRead} from './_shared-read.ts';
import {ManualClock} from '#clock';

t.test('reads do not follow each other more closely than the minimum interval', async t => {
	const clock = new ManualClock();
	const startedMs: number[] = [];
	const reads = new SharedRead(clock, async () => {
		startedMs.push(clock.now());
		await clock.sleep(10);
		return startedMs.length;
	}, {maxWaitMs: 1000, minIntervalMs: 250});
	const first = reads.get();
	await clock.advance(10);
	t.equal(await first, 1);
	const later = [reads.get(), reads.get()];
	await clock.advance(400);
	t.strictSame(await Promise.all(later), [2, 2]);
	t.equal(startedMs[1]! - startedMs[0]!, 250);
});
