import t from 'tap';
import {DrainingNotifier} from './_draining-notifier.ts';
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
		return {views, notifier: new DrainingNotifier(network.join({name, zone: 'esbjerg', incarnation: name}), views, createTelemetry({level: 'silent'}))};
	});
	return {clock, first: instances[0]!, second: instances[1]!};
}

const createReport = (incarnation: string, leaving: boolean): LoadReport => ({
	incarnation, running: 0, queued: 0, queuedTokens: 0, prefillTokensPerMs: 1, tokenGapMs: 1, ageMs: 0, leaving, cacheSequence: 0, loading: false,
});

const listEntry = {
	name: 'e1', kind: 'target', pool: 'p', address: '10.0.0.1:1', zone: 'esbjerg', leaving: true,
} as const;

t.test('a load report that one instance reads marks the target on all instances', async t => {
	const {clock, first, second} = createFleet();
	second.views.applyReport('e1', createReport('i1', false));
	first.views.applyReport('e1', createReport('i1', true));
	first.notifier.reconcile('e1');
	await clock.advance(10);
	t.ok(second.views.get('e1').isDraining);
	second.views.applyReport('e1', createReport('i1', false));
	t.ok(second.views.get('e1').isDraining);
});

t.test('an instance that learns the incarnation after the notification marks the target', async t => {
	const {clock, first, second} = createFleet();
	first.views.applyReport('e1', createReport('i1', true));
	first.notifier.reconcile('e1');
	await clock.advance(10);
	second.views.applyReport('e1', createReport('i1', false));
	second.notifier.reconcile('e1');
	t.ok(second.views.get('e1').isDraining);
});

t.test('a mark in the platform\'s list applies only to the incarnation that was known when it appeared', async t => {
	const {clock, first, second} = createFleet();
	for (const {views} of [first, second]) {
		views.applyReport('e1', createReport('i1', false));
	}

	first.notifier.applyInstanceList([listEntry]);
	await clock.advance(10);
	t.ok(second.views.get('e1').isDraining);
	first.views.applyReport('e1', createReport('i2', false));
	first.notifier.applyInstanceList([listEntry]);
	t.notOk(first.views.get('e1').isDraining);
	first.notifier.applyInstanceList([]);
	first.notifier.applyInstanceList([listEntry]);
	t.ok(first.views.get('e1').isDraining);
});

// Guards against a process given up for good, as the list shows the mark of the one before it only after this one is known.
t.test('a mark that appears late and belongs to the earlier process ends with the mark', async t => {
	const {clock, first, second} = createFleet();
	for (const {views} of [first, second]) {
		views.applyReport('e1', createReport('i1', false));
		views.applyReport('e1', createReport('i2', false));
	}

	first.notifier.applyInstanceList([listEntry]);
	await clock.advance(10);
	t.ok(first.views.get('e1').isDraining);
	t.ok(second.views.get('e1').isDraining);
	for (const {views, notifier} of [first, second]) {
		for (let list = 0; list < 3; list++) {
			t.ok(views.get('e1').isDraining);
			notifier.applyInstanceList([{...listEntry, leaving: false}]);
		}

		notifier.reconcile('e1');
		t.notOk(views.get('e1').isDraining);
	}
});

t.test('a target that reports that it leaves stays marked, whatever the list says', async t => {
	const {first} = createFleet();
	first.views.applyReport('e1', createReport('i1', true));
	first.notifier.reconcile('e1');
	for (let list = 0; list < 10; list++) {
		first.notifier.applyInstanceList([{...listEntry, leaving: false}]);
	}

	t.ok(first.views.get('e1').isDraining);
});
