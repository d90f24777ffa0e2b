import t, {type Test} from 'tap';
import {Surprises} from './_surprises.ts';
import {ManualClock} from '#clock';
import type {RelayTarget} from '#core';
import {TargetSet} from '#relay';
import type {EngineReport} from '#rollout';
import {PeerNetworkStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const engine: RelayTarget = {
	id: 'e1', incarnation: 'e1@1', startedWallMs: 1, pool: 'p', address: '127.0.0.1:1', zone: 'z', slots: 4, isLeaving: false, weights: new Map([['m', 3]]),
};

function start(t: Test, report: EngineReport | undefined) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	let asked = 0;
	const join = (name: string) => {
		const targets = new TargetSet(clock, {connectMs: 1, idleMs: 1});
		targets.update([engine]);
		const surprises = new Surprises({
			targets, clock, bus: network.join({name, zone: 'z', incarnation: name}), telemetry: createTelemetry({level: 'silent'}),
			calls: {
				async readReport() {
					asked++;
					await clock.sleep(50);
					return report;
				},
				sendOrder: async () => 'unknown',
			},
		});
		return {surprises, state: targets.get('e1')!};
	};

	t.teardown(async () => clock.advance(1000));
	return {
		clock, a: join('a'), b: join('b'), countAsked: () => asked,
	};
}

const report: EngineReport = {
	weights: new Map([['m', 2]]), isBusy: false, acceptedOrders: 0, running: 0, waiting: 0,
};

t.test('a replaced target is never used again, here and at the peers', async t => {
	const {clock, a, b} = start(t, report);
	a.surprises.handle(a.state, 'replaced');
	await clock.advance(10);
	t.ok(a.state.isGone);
	t.ok(b.state.isGone);
});

t.test('an engine with other weights than assumed is asked once, and passed over meanwhile', async t => {
	const {clock, a, countAsked} = start(t, report);
	a.surprises.handle(a.state, 'other_weights');
	a.surprises.handle(a.state, 'other_weights');
	t.ok(a.state.loadingUntilMs > clock.now());
	await clock.advance(100);
	t.equal(countAsked(), 1);
	t.equal(a.state.weights.get('m'), 2, 'what the engine says itself counts, also when it is older');
});

t.test('an engine that does not answer is passed over for a short time only', async t => {
	const {clock, a} = start(t, undefined);
	a.surprises.handle(a.state, 'other_weights');
	await clock.advance(400);
	t.equal(a.state.weights.get('m'), 3);
	t.ok(a.state.loadingUntilMs <= clock.now());
});
