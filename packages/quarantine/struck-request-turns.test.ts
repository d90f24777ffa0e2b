import fc from 'fast-check';
import t from 'tap';
import {StruckTurns} from './turns.ts';
import {ManualClock} from '#clock';
import {createRandom} from '#core';
import {PeerNetworkStandin} from '#standins';

const targets = ['e1', 'e2', 'e3'];

function start(count: number, seed = 1) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock, {latencyMs: 5});
	const members = Array.from({length: count}, (_, index) => new StruckTurns({
		clock, random: createRandom(seed + index), bus: network.join({name: `r${index}`, zone: 'z', incarnation: 'i'}),
	}));
	const take = async (member: number, fingerprint: string, signal = new AbortController().signal) => members[member]!.take({
		fingerprint, nameOf: (target: string) => target, choose: busy => targets.find(target => !busy.has(target)),
	}, signal);
	return {clock, network, take};
}

t.test('runs one struck request on a target and each on one target', async t => {
	const arrivals = fc.array(fc.record({member: fc.nat(3), fingerprint: fc.nat(3), delayMs: fc.nat(60)}), {minLength: 1, maxLength: 10});
	await fc.assert(fc.asyncProperty(arrivals, fc.nat(1000), async (list, seed) => {
		const {clock, take} = start(4, seed);
		const running: string[] = [];
		let isHeld = true;
		let done = 0;
		const run = async ({member, fingerprint, delayMs}: (typeof list)[number]) => {
			await clock.sleep(delayMs);
			const turn = await take(member, `f${fingerprint}`);
			running.push(turn!.place, `f${fingerprint}`);
			isHeld &&= new Set(running).size === running.length;
			await clock.sleep(100);
			running.splice(running.indexOf(turn!.place), 1);
			running.splice(running.indexOf(`f${fingerprint}`), 1);
			turn!.end();
			done++;
		};

		const all = Promise.all(list.map(async arrival => run(arrival)));
		await clock.advanceUntil(() => done === list.length, 20_000, 20);
		if (done < list.length) {
			return false;
		}

		await all;
		return isHeld;
	}), {seed: 21, numRuns: 40});
});

t.test('waits no longer for an instance that has gone', async t => {
	const {clock, network, take} = start(2);
	const first = take(0, 'f');
	await clock.advance(100);
	await first;
	network.setCut('r0', true);
	const second = take(1, 'f');
	let isTaken = false;
	void (async () => {
		await second;
		isTaken = true;
	})();

	await clock.advance(3000);
	t.notOk(isTaken);
	await clock.advance(4000);
	t.ok(isTaken);
});

t.test('ends the wait when the caller leaves', async t => {
	const {clock, take} = start(1);
	await take(0, 'f');
	const leave = new AbortController();
	const second = take(0, 'f', leave.signal);
	await clock.advance(100);
	leave.abort();
	t.equal(await second, undefined);
});
