import t, {type Test} from 'tap';
import {MismatchHandler} from './_mismatch-handler.ts';
import {ManualClock} from '#clock';
import type {RelayTarget} from '#core';
import {TargetSet} from '#relay';
import type {EngineReport} from '#rollout';
import {PeerNetworkStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const engine: RelayTarget = {
	id: 'e1', incarnation: 'e1@1', startedWallMs: 1, pool: 'p', address: '127.0.0.1:1', zone: 'z', slots: 4, isDraining: false, softwareVersion: 'v1', weights: new Map([['m', 3]]),
};

function createInstances(t: Test, report: EngineReport | undefined) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	let requestCount = 0;
	const join = (name: string) => {
		const targets = new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1});
		targets.update([engine]);
		const handler = new MismatchHandler({
			targets, clock, bus: network.join({name, zone: 'z', incarnation: name}), telemetry: createTelemetry({level: 'silent'}),
			control: {
				async readReport() {
					requestCount++;
					await clock.sleep(50);
					return report;
				},
				sendOrder: async () => 'unknown',
			},
		});
		return {handler, state: targets.get('e1')!};
	};

	t.teardown(async () => clock.advance(1000));
	return {
		clock, a: join('a'), b: join('b'), countRequests: () => requestCount,
	};
}

const report: EngineReport = {
	weights: new Map([['m', 2]]), isBusy: false, acceptedOrders: 0, running: 0, waiting: 0,
};

t.test('a replaced target is removed on the instance and its peers', async t => {
	const {clock, a, b} = createInstances(t, report);
	a.handler.handle(a.state, 'replaced');
	await clock.advance(10);
	t.ok(a.state.isReplaced);
	t.ok(b.state.isReplaced);
});

t.test('the report of an engine with other weights than assumed is read once, and the engine is not chosen meanwhile', async t => {
	const {clock, a, countRequests} = createInstances(t, report);
	a.handler.handle(a.state, 'other_weights');
	a.handler.handle(a.state, 'other_weights');
	t.ok(a.state.loadingUntilMs > clock.now());
	await clock.advance(100);
	t.equal(countRequests(), 1);
	t.equal(a.state.weights.get('m'), 2, 'the report of the engine overrides the assumed version, even if it is older');
});

t.test('an engine that does not answer is excluded only for a short time', async t => {
	const {clock, a} = createInstances(t, undefined);
	a.handler.handle(a.state, 'other_weights');
	await clock.advance(400);
	t.equal(a.state.weights.get('m'), 3);
	t.ok(a.state.loadingUntilMs <= clock.now());
});
