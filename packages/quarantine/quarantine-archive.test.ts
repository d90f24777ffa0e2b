import t from 'tap';
import {Quarantine} from './quarantine.ts';
import {runQuarantineArchive} from './quarantine-archive.ts';
import {ManualClock} from '#clock';
import {createRandom} from '#core';
import {createNoopBus} from '#peer-protocol';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

function start() {
	const clock = new ManualClock();
	const store = new PlatformStandin(clock);
	const telemetry = createTelemetry({level: 'silent'});
	const stopping = new AbortController();
	const run = () => {
		const quarantine = new Quarantine({
			clock, random: createRandom(1), telemetry, bus: createNoopBus(),
		}, {namespace: 'part', strikeLimit: 3});
		void runQuarantineArchive({
			clock, telemetry, store, kind: 'q', quarantine, getRank: () => 0,
		}, stopping.signal);
		return quarantine;
	};

	return {
		clock, store, run, stopping,
	};
}

// Guards against calls to the store for parts that many prompts share, which are cleared moments after each crash.
t.test('strikes that are cleared before they are written cause no call', async t => {
	const {clock, store, run, stopping} = start();
	const quarantine = run();
	await clock.advance(2100);
	quarantine.recordCrash('f', 'e1', 'i1');
	quarantine.recordCrash('f', 'e2', 'i1');
	await clock.advance(20);
	quarantine.recordCompletion('f');
	await clock.advance(2000);
	t.equal(store.served.write, 0);
	stopping.abort();
});

t.test('strikes are removed when they are cleared, also by an instance that has only read them', async t => {
	const {clock, store, run, stopping} = start();
	const first = run();
	first.recordCrash('f', 'e1', 'i1');
	first.recordCrash('f', 'e2', 'i1');
	await clock.advance(2000);
	const second = run();
	await clock.advance(2000);
	t.equal(second.countStrikes('f'), 2);
	second.recordCompletion('f');
	await clock.advance(2000);
	const third = run();
	await clock.advance(2000);
	t.equal(third.countStrikes('f'), 0);
	stopping.abort();
});

t.test('strikes are written again after the store has come back from an older copy', async t => {
	const {clock, store, run, stopping} = start();
	let epoch = 1;
	Object.assign(store, {getEpoch: () => epoch});
	const quarantine = run();
	quarantine.recordCrash('f', 'e1', 'i1');
	quarantine.recordCrash('f', 'e2', 'i1');
	await clock.advance(2000);
	void store.remove('q/f');
	epoch = 2;
	await clock.advance(2000);
	const next = run();
	await clock.advance(2000);
	t.equal(next.countStrikes('f'), 2);
	stopping.abort();
});
