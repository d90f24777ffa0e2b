import t from 'tap';
import {LeavingRelay} from './_relay-leaving.ts';
import {ManualClock} from '#clock';
import type {LoadReport} from '#core';
import {TargetViews} from '#placement';
import {PeerNetworkStandin} from '#standins';
import {createTelemetry} from '#telemetry';

function createFleet() {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const instances = ['r1', 'r2'].map(name => {
		const views = new TargetViews();
		return {views, relay: new LeavingRelay(network.join({name, zone: 'esbjerg', incarnation: name}), views, createTelemetry({level: 'silent'}))};
	});
	return {clock, first: instances[0]!, second: instances[1]!};
}

const makeReport = (incarnation: string, leaving: boolean): LoadReport => ({
	incarnation, running: 0, queued: 0, queuedTokens: 0, prefillTokensPerMs: 1, tokenGapMs: 1, ageMs: 0, leaving, cacheSequence: 0, loading: false,
});

const listEntry = {
	name: 'e1', kind: 'target', pool: 'p', address: '10.0.0.1:1', zone: 'esbjerg', leaving: true,
} as const;

t.test('one instance\'s report marks the target on all', async t => {
	const {clock, first, second} = createFleet();
	second.views.applyReport('e1', makeReport('i1', false));
	first.views.applyReport('e1', makeReport('i1', true));
	first.relay.check('e1');
	await clock.advance(10);
	t.ok(second.views.get('e1').leaving);
	second.views.applyReport('e1', makeReport('i1', false));
	t.ok(second.views.get('e1').leaving);
});

t.test('an instance that learns the incarnation later marks it too', async t => {
	const {clock, first, second} = createFleet();
	first.views.applyReport('e1', makeReport('i1', true));
	first.relay.check('e1');
	await clock.advance(10);
	second.views.applyReport('e1', makeReport('i1', false));
	second.relay.check('e1');
	t.ok(second.views.get('e1').leaving);
});

t.test('the list marks the present incarnation only', async t => {
	const {clock, first, second} = createFleet();
	for (const {views} of [first, second]) {
		views.applyReport('e1', makeReport('i1', false));
	}

	first.relay.readList([listEntry]);
	await clock.advance(10);
	t.ok(second.views.get('e1').leaving);
	first.views.applyReport('e1', makeReport('i2', false));
	first.relay.readList([listEntry]);
	t.notOk(first.views.get('e1').leaving);
	first.relay.readList([]);
	first.relay.readList([listEntry]);
	t.ok(first.views.get('e1').leaving);
});
