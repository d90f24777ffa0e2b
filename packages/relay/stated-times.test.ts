import t from 'tap';
import {StatedTimes} from './stated-times.ts';

// Guards against requests that all count as late, as their callers state less time than the route allows.
t.test('callers that state the same short time: only those that return have waited', async t => {
	const times = new StatedTimes();
	for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
		t.equal(times.estimateElapsedMs('r', 700, nowMs), 0);
		t.equal(times.estimateElapsedMs('r', 500, nowMs + 50), 200);
	}

	t.equal(times.estimateElapsedMs('other', 500, 60_000), 0);
});

t.test('when callers come to state less time, that holds after twenty seconds', async t => {
	const times = new StatedTimes();
	times.estimateElapsedMs('r', 3000, 0);
	t.equal(times.estimateElapsedMs('r', 700, 9000), 2300);
	t.equal(times.estimateElapsedMs('r', 700, 15_000), 2300);
	t.equal(times.estimateElapsedMs('r', 700, 25_000), 0);
	times.estimateElapsedMs('r', 3000, 25_000);
	t.equal(times.estimateElapsedMs('r', 700, 80_000), 0);
});
