import t from 'tap';
import {Quarantine} from './quarantine.ts';
import type {QuarantineOptions} from './quarantine-options.ts';
import {ManualClock} from '#clock';
import {createRandom} from '#core';
import {PeerNetworkStandin} from '#standins';
import {createTelemetry} from '#telemetry';

function start(options: QuarantineOptions = {}) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const join = (name: string) => new Quarantine({
		clock, random: createRandom(name.length), telemetry: createTelemetry({level: 'silent'}), bus: network.join({name, zone: 'z', incarnation: name}),
	}, options);
	return {clock, network, join};
}

t.test('quarantines at the second crash, for a time', async t => {
	const {clock, join} = start({retentionMs: 1000});
	const quarantine = join('a');
	quarantine.recordCrash('f', 'e1', 'i1');
	t.equal(quarantine.getRefusalMs('f'), 0);
	quarantine.recordCrash('f', 'e2', 'i2');
	t.equal(quarantine.getRefusalMs('f'), 1000);
	await clock.advance(1000);
	t.equal(quarantine.getRefusalMs('f'), 0);
	t.equal(quarantine.countStrikes('f'), 0);
});

t.test('counts a crash once although several instances report it', async t => {
	const {clock, join} = start();
	const [a, b] = [join('a'), join('b')];
	a.recordCrash('f', 'e1', 'i1');
	b.recordCrash('f', 'e1', 'i1');
	await clock.advance(10);
	t.same([a.countStrikes('f'), b.countStrikes('f')], [1, 1]);
	b.recordCrash('f', 'e1', 'i2');
	await clock.advance(10);
	t.same([a.countStrikes('f'), b.countStrikes('f')], [2, 2]);
});

t.test('a completed run clears strikes at every instance for good, also at one that missed the message', async t => {
	const {clock, network, join} = start();
	const [a, b] = [join('a'), join('b')];
	a.recordCrash('f', 'e1', 'i1');
	await clock.advance(10);
	network.setIsolated('b', true);
	a.recordCompletion('f');
	await clock.advance(10);
	network.setIsolated('b', false);
	await clock.advance(20_000);
	t.same([a.countStrikes('f'), b.countStrikes('f')], [0, 0]);
});

t.test('an instance that starts later learns of a quarantine', async t => {
	const {clock, join} = start();
	const a = join('a');
	a.recordCrash('f', 'e1', 'i1');
	a.recordCrash('f', 'e2', 'i1');
	await clock.advance(1000);
	const late = join('late');
	await clock.advance(16_000);
	t.ok(late.getRefusalMs('f') > 0);
});

t.test('keeps a bounded number of fingerprints', async t => {
	const {join} = start({maxEntries: 100});
	const quarantine = join('a');
	for (let index = 0; index < 1000; index++) {
		quarantine.recordCrash(`f${index}`, 'e1', 'i1');
	}

	t.equal(quarantine.size, 100);
	t.equal(quarantine.countStrikes('f999'), 1);
	t.equal(quarantine.countStrikes('f0'), 0);
});

t.test('strikes of another namespace on the same bus are ignored', async t => {
	const {clock, network, join} = start();
	const requests = join('a');
	const parts = new Quarantine({
		clock, random: createRandom(5), telemetry: createTelemetry({level: 'silent'}), bus: network.join({name: 'b', zone: 'z', incarnation: 'b'}),
	}, {namespace: 'part'});
	parts.recordCrash('f', 'e1', 'i1');
	await clock.advance(10);
	requests.recordCrash('g', 'e1', 'i1');
	await clock.advance(10);
	t.same([requests.size, requests.countStrikes('f'), parts.size, parts.countStrikes('g')], [1, 0, 1, 0]);
});

// Guards against old crashes that a peer adds again to a fingerprint which has been cleared more often than is remembered.
t.test('the newest cleared crashes stay cleared, however many there were', async t => {
	const {clock, join} = start();
	const [a, b] = [join('a'), join('b')];
	for (let crash = 0; crash < 40; crash++) {
		a.recordCrash('f', 'e1', `i${crash}`);
		a.recordCompletion('f');
		await clock.advance(10);
		b.recordCrash('f', 'e1', `i${crash}`);
		await clock.advance(10);
		t.same([a.countStrikes('f'), b.countStrikes('f')], [0, 0]);
	}
});

t.test('a quarantine outlives an overflow of other fingerprints', async t => {
	const {join} = start({maxEntries: 10});
	const quarantine = join('a');
	quarantine.recordCrash('bad', 'e1', 'i1');
	quarantine.recordCrash('bad', 'e2', 'i1');
	for (let index = 0; index < 100; index++) {
		quarantine.recordCrash(`f${index}`, 'e1', 'i1');
	}

	t.equal(quarantine.size, 10);
	t.ok(quarantine.getQuarantine('bad'));
});
