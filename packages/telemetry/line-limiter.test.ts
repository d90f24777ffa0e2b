import t from 'tap';
import {LineLimiter} from './_line-limiter.ts';

t.test('a kind of line is bounded, others are not', async t => {
	const limiter = new LineLimiter(() => 0);
	const written = Array.from({length: 1000}, () => limiter.admit('request', 0)).filter(Boolean).length;
	t.equal(written, 200);
	t.ok(limiter.admit('start', 0));
	t.strictSame(limiter.takeDropped(1000), {request: 800});
	t.equal(limiter.takeDropped(1500), undefined);
});

t.test('lines return with time', async t => {
	const limiter = new LineLimiter(() => 0);
	for (let line = 0; line < 200; line++) {
		limiter.admit('request', 0);
	}

	t.notOk(limiter.admit('request', 10));
	t.ok(limiter.admit('request', 40));
});

t.test('a reader that does not keep up loses lines, and is told', async t => {
	let waiting = 1_000_000;
	const limiter = new LineLimiter(() => waiting);
	t.notOk(limiter.admit('request', 0));
	t.equal(limiter.takeDropped(2000), undefined);
	waiting = 0;
	t.ok(limiter.admit('request', 2000));
	t.strictSame(limiter.takeDropped(2000), {request: 1});
});
