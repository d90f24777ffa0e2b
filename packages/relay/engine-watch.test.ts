import t, {type Test} from 'tap';
import {watchEngines, type PartCacheEventBatch} from './engine-watch.ts';
import {CachedParts} from './cached-parts.ts';
import {TargetSet} from './target-set.ts';
import {ManualClock} from '#clock';
import type {RelayTarget} from '#core';
import {PeerNetworkStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const engine: RelayTarget = {
	id: 'e1', incarnation: 'e1@1', startedWallMs: 1, pool: 'p', address: '127.0.0.1:1', zone: 'z', slots: 4, isDraining: false, softwareVersion: 'v1', weights: new Map([['m', 1]]),
};
const plain: RelayTarget = {
	...engine, id: 't1', incarnation: 't1@1', address: '127.0.0.1:2', weights: new Map(),
};

/** Starts two instances, `a` and `b`; only `a` reads the engine's events. */
function start(t: Test) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const telemetry = createTelemetry({level: 'silent'});
	const stopping = new AbortController();
	const reads: Array<readonly [string, string, number]> = [];
	const answers: Array<PartCacheEventBatch | Error | undefined> = [];
	/** Answer to reads that `answers` does not cover; `undefined` if the engine is silent. */
	let defaultAnswer: PartCacheEventBatch | undefined = {
		epoch: 'x', next: 7, isGap: false, events: [],
	};
	const join = (name: string) => {
		const targets = new TargetSet(clock, {connectTimeoutMs: 1000, idleTimeoutMs: 1000});
		targets.update([engine, plain]);
		const cachedParts = new CachedParts();
		void watchEngines({
			clock, telemetry, targets, cachedParts, bus: network.join({name, zone: 'z', incarnation: name}), isReader: () => name === 'a',
			targetReach: {checkTargetFailure: async () => true},
			async readEvents(target, since) {
				reads.push([name, target.id, since]);
				const answer = answers.length > 0 ? answers.shift() : defaultAnswer;
				if (answer instanceof Error) {
					throw answer;
				}

				return answer;
			},
		}, stopping.signal);
		return {targets, cachedParts, engine: targets.get('e1')!};
	};

	t.teardown(async () => {
		stopping.abort();
		await clock.advance(1000);
	});
	return {
		clock, reads, answers, telemetry, a: join('a'), b: join('b'),
		setSilent(isSilent: boolean) {
			defaultAnswer = isSilent
				? undefined
				: {
					epoch: 'x', next: 7, isGap: false, events: [],
				};
		},
	};
}

t.test('only the reader reads, only from engines, and from the last sequence number', async t => {
	const {clock, reads} = start(t);
	await clock.advance(1000);
	t.strictSame(reads[0], ['a', 'e1', 0]);
	t.ok(reads.slice(1).every(([name, id, since]) => name === 'a' && id === 'e1' && since === 7));
	t.ok(reads.length <= 5, 'four reads a second');
});

t.test('all instances avoid a silent engine within 600 ms, and use it again once it answers', async t => {
	const {clock, a, b, setSilent} = start(t);
	await clock.advance(2000);
	setSilent(true);
	await clock.advance(600);
	t.ok(a.engine.suspectUntilMs > clock.now());
	t.ok(b.engine.suspectUntilMs > clock.now());
	setSilent(false);
	await clock.advance(300);
	t.ok(a.engine.suspectUntilMs <= clock.now());
});

t.test('an answer received from the engine overrides a peer\'s report of its silence', async t => {
	const {clock, b, setSilent} = start(t);
	setSilent(true);
	for (let step = 0; step < 20; step++) {
		b.engine.lastReceivedMs = clock.now();
		await clock.advance(50);
	}

	t.ok(b.engine.suspectUntilMs <= clock.now());
});

t.test('evicted parts are removed on all instances', async t => {
	const {clock, answers, a, b} = start(t);
	await clock.advance(100);
	for (const {cachedParts} of [a, b]) {
		cachedParts.record('s/x', 'e1@1', clock.now());
		cachedParts.record('s/y', 'e1@1', clock.now());
	}

	answers.push({
		epoch: 'x', next: 9, isGap: false, events: [{isStored: false, scope: 's', part: 'x'}, {isStored: true, scope: 's', part: 'new'}],
	});
	await clock.advance(300);
	for (const {cachedParts} of [a, b]) {
		t.notOk(cachedParts.has('s/x', 'e1@1', clock.now()));
		t.ok(cachedParts.has('s/y', 'e1@1', clock.now()));
		t.equal(cachedParts.size, 2);
	}
});

t.test('after a restart of the engine, its events are read from the beginning', async t => {
	const {clock, reads, answers} = start(t);
	const batch = {next: 40, isGap: false, events: []};
	answers.push({...batch, epoch: 'x'}, {...batch, epoch: 'y'});
	await clock.advance(1000);
	t.strictSame(reads.slice(0, 4).map(read => read[2]), [0, 7, 40, 0]);
});

// Guards against an engine whose entry ended the instance that read its events.
t.test('an error ends the reader of one engine, which is started again', async t => {
	const {clock, reads, answers, telemetry} = start(t);
	answers.push(new Error('odd'), new Error('odd'));
	await clock.advance(3000);
	t.equal(telemetry.getCounter('escaped_errors_total', {activity: 'engine_watch'}), 2);
	t.ok(reads.length > 5, `${reads.length} reads`);
	t.equal(reads.at(-1)![2], 7);
});
