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
