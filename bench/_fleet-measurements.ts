/** Measurements of the fleet bench on a running deployment. */
import {type FleetLoad} from './_fleet-load.ts';
import type {ResourceUsage} from './_fleet-process.ts';
import type {FleetDeployment} from './_fleet-deployment.ts';

/** Resource usage of an idle instance, averaged over all instances. */
export type IdleMeasurements = Readonly<{controlBytesPerSecondPerInstance: number; controlCpuShare: number; rssMb: number}>;

/** Measurements during a rolling restart, and their ratios to the same fleet before it. */
export type RestartMeasurements = Readonly<{hitRateRatio: number; ttftP99Ratio: number; requestsCut: number; requests: number; refused: number}>;

const publicationCount = 5;
const inForceTimeoutMs = 10_000;
const drainingTimeoutMs = 10_000;
const baselineMs = 12_000;
const warmUpMs = 15_000;
const busiestWindowMs = 2000;

/** Measures the maximum time from acceptance of a generation until it is in force on every instance, in milliseconds. */
export async function measurePublication(deployment: FleetDeployment): Promise<number> {
	let maxMs = 0;
	for (let version = 2; version < 2 + publicationCount; version++) {
		const generation = await deployment.publish(version);
		const acceptedMs = deployment.clock.now();
		const findInForceLines = () => deployment.processes.map(({logLines}) => logLines.find(line => line.msg === 'configuration in force' && line.generation! >= generation));
		await deployment.waitFor(() => findInForceLines().every(line => line !== undefined), inForceTimeoutMs, `generation ${generation} is in force`);
		maxMs = Math.max(maxMs, ...findInForceLines().map(line => line!.atMs - acceptedMs));
		await deployment.clock.sleep(300);
	}

	return Math.max(0, maxMs);
}

/** Measures the time from the first instance that logs `target leaving` until the last new request of the draining target, in milliseconds. */
export async function measureDraining(deployment: FleetDeployment): Promise<number> {
	const startCounts = deployment.engines.map(({attemptedRequestIds}) => attemptedRequestIds.length);
	await deployment.clock.sleep(busiestWindowMs);
	const busiest = deployment.engines.toSorted((a, b) =>
		(b.attemptedRequestIds.length - startCounts[deployment.engines.indexOf(b)]!) - (a.attemptedRequestIds.length - startCounts[deployment.engines.indexOf(a)]!));
	const engine = busiest[0]!;
	let lastRequestMs = -Infinity;
	let requestCount = engine.attemptedRequestIds.length;
	const cancel = deployment.clock.subscribe(5, () => {
		if (engine.attemptedRequestIds.length > requestCount) {
			requestCount = engine.attemptedRequestIds.length;
			lastRequestMs = deployment.clock.now();
		}
	});
	await deployment.waitFor(() => lastRequestMs > 0, drainingTimeoutMs, 'the busiest target receives another request');
	engine.startDraining();
	const listDrainingTimesMs = () => deployment.processes.flatMap(({logLines}) => logLines.filter(line => line.msg === 'target leaving')).map(({atMs}) => atMs);
	await deployment.waitFor(() => listDrainingTimesMs().length > 0, drainingTimeoutMs, 'an instance logs that the target is draining');
	await deployment.clock.sleep(4000);
	cancel();
	return Math.max(0, lastRequestMs - Math.min(...listDrainingTimesMs()));
}

/** Measures processor time, memory and control traffic of the instances without load, over `durationMs`. */
export async function measureIdleUsage(deployment: FleetDeployment, durationMs: number): Promise<IdleMeasurements> {
	const before = await Promise.all(deployment.processes.map(async instance => instance.measureUsage()));
	await deployment.clock.sleep(durationMs);
	const after = await Promise.all(deployment.processes.map(async instance => instance.measureUsage()));
	const computeAverage = (compute: (from: ResourceUsage, to: ResourceUsage) => number) =>
		after.reduce((sum, to, index) => sum + compute(before[index]!, to), 0) / after.length;
	return {
		controlBytesPerSecondPerInstance: computeAverage((from, to) => (to.peerBytes - from.peerBytes) / (to.atMs - from.atMs) * 1000),
		controlCpuShare: computeAverage((from, to) => (to.cpuMs - from.cpuMs) / (to.atMs - from.atMs)),
		rssMb: computeAverage((_, to) => to.rssMb),
	};
}

/** Measures a rolling restart of all instances under load. */
export async function measureRestart(deployment: FleetDeployment, load: FleetLoad): Promise<RestartMeasurements> {
	await deployment.clock.sleep(warmUpMs);
	const startMs = deployment.clock.now();
	await deployment.clock.sleep(baselineMs);
	const restartMs = deployment.clock.now();
	for (const [index, oldProcess] of deployment.processes.entries()) {
		await oldProcess.stop();
		deployment.processes[index] = deployment.spawn(oldProcess.plan);
		await deployment.waitForReady();
	}

	const endMs = deployment.clock.now();
	await deployment.clock.sleep(1000);
	const before = load.computeSummary(startMs, restartMs);
	const after = load.computeSummary(restartMs, endMs);
	const refused = load.samples.filter(({atMs, isComplete, isTruncated}) => atMs >= restartMs && atMs < endMs && !isComplete && !isTruncated).length;
	return {
		hitRateRatio: after.cachedTokens / before.cachedTokens, ttftP99Ratio: after.ttftP99Ms / before.ttftP99Ms,
		requestsCut: after.cut, requests: after.requests, refused,
	};
}
