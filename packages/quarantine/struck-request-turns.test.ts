import fc from 'fast-check';
import t from 'tap';
import {StruckRequestTurns} from './struck-request-turns.ts';
import {ManualClock} from '#clock';
import {createRandom} from '#core';
import {PeerNetworkStandin} from '#standins';

const targets = ['e1', 'e2', 'e3'];

function start(count: number, seed = 1) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock, {latencyMs: 5});
	const instances = Array.from({length: count}, (_, index) => new StruckRequestTurns({
		clock, random: createRandom(seed + index), bus: network.join({name: `r${index}`, zone: 'z', incarnation: 'i'}),
	}));
	const acquire = async (instance: number, fingerprint: string, signal = new AbortController().signal) => instances[instance]!.acquire({
		fingerprint, getTargetName: (target: string) => target, choose: busy => targets.find(target => !busy.has(target)),
	}, signal);
	return {clock, network, acquire};
}

t.test('at most one struck request runs on a target, and each runs on one target only', async t => {
	const arrivals = fc.array(fc.record({instance: fc.nat(3), fingerprint: fc.nat(3), delayMs: fc.nat(60)}), {minLength: 1, maxLength: 10});
	await fc.assert(fc.asyncProperty(arrivals, fc.nat(1000), async (list, seed) => {
		const {clock, acquire} = start(4, seed);
		const running: string[] = [];
		let isExclusive = true;
		let finishedCount = 0;
		const run = async ({instance, fingerprint, delayMs}: (typeof list)[number]) => {
			await clock.sleep(delayMs);
			const turn = await acquire(instance, `f${fingerprint}`);
			running.push(turn!.placement, `f${fingerprint}`);
			isExclusive &&= new Set(running).size === running.length;
			await clock.sleep(100);
			running.splice(running.indexOf(turn!.placement), 1);
			running.splice(running.indexOf(`f${fingerprint}`), 1);
			turn!.release();
			finishedCount++;
		};

		const all = Promise.all(list.map(async arrival => run(arrival)));
		await clock.advanceUntil(() => finishedCount === list.length, 20_000, 20);
		if (finishedCount < list.length) {
			return false;
		}

		await all;
		return isExclusive;
	}), {seed: 21, numRuns: 40});
});

t.test('the turn of an unreachable instance expires', async t => {
	const {clock, network, acquire} = start(2);
	const first = acquire(0, 'f');
	await clock.advance(100);
	await first;
	network.setIsolated('r0', true);
	const second = acquire(1, 'f');
	let isAcquired = false;
	void (async () => {
		await second;
		isAcquired = true;
	})();

	await clock.advance(3000);
	t.notOk(isAcquired);
	await clock.advance(4000);
	t.ok(isAcquired);
});

t.test('the wait ends when the caller disconnects', async t => {
	const {clock, acquire} = start(1);
	await acquire(0, 'f');
	const disconnected = new AbortController();
	const second = acquire(0, 'f', disconnected.signal);
	await clock.advance(100);
	disconnected.abort();
	t.equal(await second, undefined);
});
