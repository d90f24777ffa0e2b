import t from 'tap';
import {LineLimiter} from './_line-limiter.ts';

t.test('a burst of one kind of line is limited without affecting other kinds', async t => {
	const limiter = new LineLimiter(() => 0);
	const written = Array.from({length: 1000}, () => limiter.admit('request', 0)).filter(Boolean).length;
	t.equal(written, 200);
	t.ok(limiter.admit('start', 0));
	t.strictSame(limiter.takeDropped(1000), {request: 800});
	t.equal(limiter.takeDropped(1500), undefined);
});

t.test('lines are admitted again after the bucket refills', async t => {
	const limiter = new LineLimiter(() => 0);
	for (let line = 0; line < 200; line++) {
		limiter.admit('request', 0);
	}

	t.notOk(limiter.admit('request', 10));
	t.ok(limiter.admit('request', 40));
});

t.test('lines are dropped while the consumer does not keep up, and reported once it does', async t => {
	let bufferedBytes = 1_000_000;
	const limiter = new LineLimiter(() => bufferedBytes);
	t.notOk(limiter.admit('request', 0));
	t.equal(limiter.takeDropped(2000), undefined);
	bufferedBytes = 0;
	t.ok(limiter.admit('request', 2000));
	t.strictSame(limiter.takeDropped(2000), {request: 1});
});
