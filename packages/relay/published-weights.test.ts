import t from 'tap';
import {PublishedWeights} from './published-weights.ts';
import {ManualClock} from '#clock';

// Guards against a restarted instance that sends requests to old weights for as long again as when the newer ones were published.
t.test('a version that is known soon after the start counts as published before it', async t => {
	const clock = new ManualClock();
	const published = new PublishedWeights(clock);
	await clock.advance(100);
	published.record('m', 3);
	t.same(published.get('m'), [{version: 3, ageMs: 3000}]);
	await clock.advance(3000);
	t.same(published.get('m'), [{version: 3, ageMs: 6000}]);
});

t.test('a version that is published later has the age since then', async t => {
	const clock = new ManualClock();
	const published = new PublishedWeights(clock);
	await clock.advance(5000);
	published.record('m', 2);
	await clock.advance(700);
	t.same(published.get('m'), [{version: 2, ageMs: 700}]);
});
