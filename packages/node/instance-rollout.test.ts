import t from 'tap';
import {createInstanceRollout} from './_instance-rollout.ts';
import {ManualClock, SuspensionMonitor} from '#clock';
import {createRandom, type RelayTarget} from '#core';
import {createNoopBus} from '#peer-protocol';
import type {TargetWork} from '#placement';
import {PublishedWeights, TargetSet} from '#relay';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

function createEngine(id: string, startedWallMs: number): RelayTarget {
	return {
		id, incarnation: `${id}@${startedWallMs}`, startedWallMs, pool: 'p', address: `10.0.0.${id}:80`, zone: 'z', slots: 4, isDraining: false, softwareVersion: 'v1', weights: new Map([['m', 1]]),
	};
}

/** Starts the roll-out of one instance that lists two engines. */
function start() {
	const clock = new ManualClock();
	const telemetry = createTelemetry({level: 'silent'});
	const targets = new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1});
	targets.update([createEngine('1', 1), createEngine('2', 1)]);
	const publishedWeights = new PublishedWeights({clock, suspensions: new SuspensionMonitor(clock)});
	const versions = new Map<string, number>();
	const {rollout} = createInstanceRollout({
		name: 'a', clock, random: createRandom(1), telemetry, store: new PlatformStandin(clock), leaseKind: 'leases', targets, publishedWeights, bus: createNoopBus(),
		targetReach: {
			isUnreachable: () => false,
			recordFailure() {
				// All engines answer.
			},
		},
		control: {
			async readReport({id}) {
				await clock.sleep(3);
				return {
					weights: new Map([['m', versions.get(id) ?? 1]]), isBusy: false, acceptedOrders: 0, running: 0, waiting: 0,
				};
			},
			async sendOrder({id}, {version}) {
				await clock.sleep(3);
				versions.set(id, version);
				return 'accepted';
			},
		},
		handleReplaced() {
			// No engine is replaced by another one.
		},
		getRank: () => 0, leaseMs: 3000, checksFencing: true,
	});
	const stopping = new AbortController();
	const done = rollout.run(stopping.signal);
	return {
		clock, targets, publishedWeights, versions,
		async stop() {
			stopping.abort();
			await clock.advance(5000);
			await done;
		},
	};
}

// Guards against an engine that is left out of roll-outs for good, as the process before it under its id has said that it leaves.
for (const [peer, report] of [
	['a peer that has not seen its new entry', {startedWallMs: 1, statement: {isLeaving: true, ageMs: 10}, limit: {isLeaving: true, ageMs: 10}}],
	['a peer of an earlier program', {limit: {isLeaving: true, ageMs: 10}}],
] as const satisfies ReadonlyArray<readonly [string, Partial<TargetWork>]>) {
	t.test(`an engine that has restarted under its id gets new weights, whatever ${peer} reports`, async t => {
		const {clock, targets, publishedWeights, versions, stop} = start();
		await clock.advance(1000);
		targets.get('1')!.statements.recordAnswer({isLeaving: true}, 900, 1000);
		targets.update([createEngine('1', 2), createEngine('2', 1)]);
		targets.applyPeerWork('peer', [{
			target: '1', requests: 0, tokens: 0, ...report,
		}], clock.now());
		publishedWeights.record('m', 2, {wasListed: true, isWatching: true});
		await clock.advance(8000);
		t.same([...versions].toSorted(([a], [b]) => a < b ? -1 : 1), [['1', 2], ['2', 2]]);
		t.equal(targets.get('1')!.weights.get('m'), 2);
		await stop();
	});
}

t.test('an engine that has said that it leaves gets no new weights', async t => {
	const {clock, targets, publishedWeights, versions, stop} = start();
	await clock.advance(1000);
	targets.get('1')!.statements.recordAnswer({isLeaving: true}, 900, 1000);
	publishedWeights.record('m', 2, {wasListed: true, isWatching: true});
	await clock.advance(8000);
	t.same([...versions], [['2', 2]]);
	await stop();
});
