import fc from 'fast-check';
import t from 'tap';
import {sumAhead, TokenQueue} from './token-queue.ts';

t.test('only tokens of the same or a higher urgency are ahead', async t => {
	const queue = new TokenQueue();
	queue.add(0, 100);
	queue.add(4, 50);
	queue.add(9, 7);
	t.equal(queue.sumAhead(0), 100);
	t.equal(queue.sumAhead(3), 100);
	t.equal(queue.sumAhead(4), 150);
	t.equal(queue.sumAhead(9), queue.total);
	t.strictSame(queue.list(), [100, 0, 0, 0, 50, 0, 0, 0, 0, 7]);
	queue.add(9, -7);
	t.strictSame(queue.list(), [100, 0, 0, 0, 50]);
});

t.test('a list of tokens sums to the same as the queue it came from', async t => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.nat(9), fc.nat(5000))), fc.nat(9), (adds, urgency) => {
		const queue = new TokenQueue();
		for (const [level, tokens] of adds) {
			queue.add(level, tokens);
		}

		return sumAhead(queue.list(), urgency) === queue.sumAhead(urgency);
	}), {seed: 12});
});

t.test('a removal does not lower the count below zero', async t => {
	const queue = new TokenQueue();
	queue.add(2, 10);
	queue.add(2, -30);
	t.equal(queue.total, 0);
});
