import t from 'tap';
import {runTask} from './_run-task.ts';
import {ManualClock} from '#clock';
import {createTelemetry} from '#telemetry';

function start(run: (signal: AbortSignal) => Promise<void>) {
	const clock = new ManualClock();
	const telemetry = createTelemetry({level: 'silent'});
	const stopping = new AbortController();
	let isDone = false;
	void runTask('a', run, {clock, telemetry}, stopping.signal).then(() => {
		isDone = true;
	});
	return {
		clock, stopping, countErrors: () => telemetry.getCounter('escaped_errors_total', {activity: 'task'}), isDone: () => isDone,
	};
}

t.test('a task that fails is started again after a delay, until it returns', async t => {
	let runs = 0;
	const {clock, countErrors, isDone} = start(async () => {
		runs++;
		if (runs < 3) {
			throw new Error('odd');
		}
	});
	await clock.advance(900);
	t.equal(runs, 1);
	await clock.advance(5000);
	t.equal(runs, 3);
	t.equal(countErrors(), 2);
	t.ok(isDone());
});

t.test('a task that fails is not started again after a stop', async t => {
	let runs = 0;
	const {clock, stopping, isDone} = start(async () => {
		runs++;
		throw new Error('odd');
	});
	await clock.advance(100);
	stopping.abort();
	await clock.advance(5000);
	t.equal(runs, 1);
	t.ok(isDone());
});
