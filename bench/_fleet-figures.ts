/** What the fleet bench measures on a running world. */
import {type FleetLoad} from './_fleet-load.ts';
import type {Usage} from './_fleet-process.ts';
import type {FleetWorld} from './_fleet-world.ts';

/** Use of one instance at rest, on average over all. */
export type RestFigures = Readonly<{controlBytesPerSecondPerInstance: number; controlCpuShare: number; rssMb: number}>;

/** A fleet restarted one instance after the other, against the same fleet before. */
export type RestartFigures = Readonly<{hitRateRatio: number; ttftP99Ratio: number; requestsCut: number; requests: number; refused: number}>;

const publications = 5;
const forceLimitMs = 10_000;
const leavingLimitMs = 10_000;
const steadyMs = 12_000;
const warmMs = 15_000;
const busySpanMs = 2000;

/** Largest time from acceptance until the generation is in force on every instance. */
export async function measurePublication(world: FleetWorld): Promise<number> {
	let longestMs = 0;
	for (let version = 2; version < 2 + publications; version++) {
		const generation = await world.publish(version);
		const acceptedMs = world.clock.now();
		const findLine = () => world.processes.map(({lines}) => lines.find(line => line.msg === 'configuration in force' && line.generation! >= generation));
		await world.waitFor(() => findLine().every(line => line !== undefined), forceLimitMs, `generation ${generation} is in force`);
		longestMs = Math.max(longestMs, ...findLine().map(line => line!.atMs - acceptedMs));
		await world.clock.sleep(300);
	}

	return Math.max(0, longestMs);
}

/** Largest time from the first instance that knows of a target's leaving until the target's last new request. */
export async function measureLeaving(world: FleetWorld): Promise<number> {
	const atStart = world.engines.map(({runs}) => runs.length);
	await world.clock.sleep(busySpanMs);
	const busiest = world.engines.toSorted((a, b) => (b.runs.length - atStart[world.engines.indexOf(b)]!) - (a.runs.length - atStart[world.engines.indexOf(a)]!));
	const engine = busiest[0]!;
	let lastRunMs = -Infinity;
	let runs = engine.runs.length;
	const cancel = world.clock.subscribe(5, () => {
		if (engine.runs.length > runs) {
			runs = engine.runs.length;
			lastRunMs = world.clock.now();
		}
	});
	await world.waitFor(() => lastRunMs > 0, leavingLimitMs, 'the busiest target has another request');
	engine.leave();
	const known = () => world.processes.flatMap(({lines}) => lines.filter(line => line.msg === 'target leaving')).map(({atMs}) => atMs);
	await world.waitFor(() => known().length > 0, leavingLimitMs, 'an instance knows that the target is leaving');
	await world.clock.sleep(4000);
	cancel();
	return Math.max(0, lastRunMs - Math.min(...known()));
}

/** Use of the machine and of the network by control alone, over a quiet span. */
export async function measureRest(world: FleetWorld, spanMs: number): Promise<RestFigures> {
	const before = await Promise.all(world.processes.map(async instance => instance.measure()));
	await world.clock.sleep(spanMs);
	const after = await Promise.all(world.processes.map(async instance => instance.measure()));
	const average = (compute: (from: Usage, to: Usage) => number) =>
		after.reduce((sum, to, index) => sum + compute(before[index]!, to), 0) / after.length;
	return {
		controlBytesPerSecondPerInstance: average((from, to) => (to.peerBytes - from.peerBytes) / (to.atMs - from.atMs) * 1000),
		controlCpuShare: average((from, to) => (to.cpuMs - from.cpuMs) / (to.atMs - from.atMs)),
		rssMb: average((_, to) => to.rssMb),
	};
}

/** Restarts every instance, one after the other, under load. */
export async function measureRestart(world: FleetWorld, load: FleetLoad): Promise<RestartFigures> {
	await world.clock.sleep(warmMs);
	const startMs = world.clock.now();
	await world.clock.sleep(steadyMs);
	const restartMs = world.clock.now();
	for (const [index, old] of world.processes.entries()) {
		await old.stop();
		world.processes[index] = world.spawn(old.plan);
		await world.waitForReady();
	}

	const endMs = world.clock.now();
	await world.clock.sleep(1000);
	const before = load.summarise(startMs, restartMs);
	const after = load.summarise(restartMs, endMs);
	const refused = load.samples.filter(({atMs, isWhole, isCut}) => atMs >= restartMs && atMs < endMs && !isWhole && !isCut).length;
	return {
		hitRateRatio: after.cachedTokens / before.cachedTokens, ttftP99Ratio: after.ttftP99Ms / before.ttftP99Ms,
		requestsCut: after.cut, requests: after.requests, refused,
	};
}
