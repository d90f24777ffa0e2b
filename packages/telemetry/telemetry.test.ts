import t from 'tap';
import {createTelemetry} from './telemetry.ts';

t.test('metrics can be read back and rendered, independently of the order of labels', async t => {
	const telemetry = createTelemetry({level: 'silent'});
	telemetry.count('refusals_total', {reason: 'rate_limited', ran: 'not_run'});
	telemetry.count('refusals_total', {ran: 'not_run', reason: 'rate_limited'}, 2);
	telemetry.set('requests_running', 4);
	t.equal(telemetry.getCounter('refusals_total', {reason: 'rate_limited', ran: 'not_run'}), 3);
	t.equal(telemetry.getCounter('refusals_total', {reason: 'queue_full', ran: 'not_run'}), 0);
	for (const text of [await telemetry.render(), await telemetry.render()]) {
		t.match(text, /apricotdoor_refusals_total\{reason="rate_limited",ran="not_run"\} 3\n/v);
		t.match(text, /apricotdoor_requests_running 4\n/v);
	}
});

t.test('rendering fails if a series has an undeclared label', async t => {
	const telemetry = createTelemetry({level: 'silent'});
	telemetry.count('refusals_total', {reasn: 'rate_limited'});
	await t.rejects(telemetry.render());
});
