import t from 'tap';
import {Overtaking} from './overtaking.ts';

// Guards against less urgent prompts that are sent to engines which more urgent ones keep busy, and that miss their deadline there.
t.test('a load of urgent prompts: less urgent ones wait longer by the share that those take', async t => {
	const overtaking = new Overtaking();
	for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
		overtaking.record(2, 200, nowMs);
	}

	// 20 tokens per millisecond of 30, of which three quarters count.
	t.ok(Math.abs(overtaking.getFactor(3, 30, 10_000) - 2) < 0.02);
	t.equal(overtaking.getFactor(2, 30, 10_000), 1, 'those as urgent are served in order of arrival');
	t.equal(overtaking.getFactor(0, 30, 10_000), 1);
	t.ok(overtaking.getFactor(9, 1, 10_000) <= 20.01, 'the factor is bounded');
	t.ok(overtaking.getFactor(3, 30, 20_000) < 1.01, 'it falls when the load ends');
	t.equal(new Overtaking().getFactor(5, 0, 0), 1);
});
