/**
 * Compares capacity that follows demand with pools of a fixed size, over a load
 * that rises from 1 to 40 requests per second and falls back: complete routers
 * and stand-in engines on a manual clock.
 */
import process from 'node:process';
import type {Command} from 'commander';
import {build} from 'hdr-histogram-js';
import {runSteps, Simulation} from '#scenario';

type CapacityBenchOptions = Readonly<{json?: boolean; quick?: boolean}>;

/** Results of one pool. */
type CapacityMeasurements = Readonly<{
	requests: number;
	answeredRatio: number;
	/** Ratio of requests answered completely, with the first token within the promised time. */
	inTimeRatio: number;
	ttftMsP50: number;
	ttftMsP99: number;
	/** Seconds for which an engine had weights loaded, summed over all engines. */
	engineSeconds: number;
	/** Time from the start of the rise until the maximum number of loaded engines. */
	followMs: number;
	mostLoaded: number;
	mostLoadsAtOnce: number;
}>;

type PoolPolicy = Readonly<{engines: number; loadedAtStart: number; minLoaded: number}>;

const policies: Readonly<Record<string, PoolPolicy>> = {
	fixedOne: {engines: 1, loadedAtStart: 1, minLoaded: 1},
	fixedThree: {engines: 3, loadedAtStart: 3, minLoaded: 3},
	fixedSix: {engines: 6, loadedAtStart: 6, minLoaded: 6},
	following: {engines: 6, loadedAtStart: 1, minLoaded: 1},
};

const promisedFirstTokenMs = 1800;
const sampleIntervalMs = 100;
const routers = 'r1 r2 r3 r4 r5 r6 r7 r8';
const quietSeconds = 60;

export function registerCapacityBench(program: Command): void {
	program.command('capacity')
		.description('Capacity that follows demand, compared with pools of a fixed size, in virtual time.')
		.option('--json', 'write one JSON object')
		.option('--quick', 'a rush of 30 s instead of 120 s')
		.action(runCapacityBench);
}

async function runCapacityBench(options: CapacityBenchOptions): Promise<void> {
	const rushSeconds = options.quick ? 30 : 120;
	const measurements: Record<string, CapacityMeasurements> = {};
	for (const [name, policy] of Object.entries(policies)) {
		measurements[name] = await measurePolicy(policy, rushSeconds);
	}

	if (options.json) {
		process.stdout.write(`${JSON.stringify({rushSeconds, policies: measurements})}\n`);
		return;
	}

	console.table(measurements);
}

async function measurePolicy(policy: PoolPolicy, rushSeconds: number): Promise<CapacityMeasurements> {
	const simulation = new Simulation();
	await runScenario(simulation, createSetupScenario(policy));
	const riseStartMs = simulation.clock.now() + (quietSeconds * 1000);
	let loadedSamples = 0;
	let mostLoaded = 0;
	let maxLoadedAtMs = riseStartMs;
	const unsubscribe = simulation.clock.subscribe(sampleIntervalMs, () => {
		const loaded = [...simulation.engines.values()].filter(engine => engine.weights !== undefined).length;
		loadedSamples += loaded;
		if (simulation.clock.now() >= riseStartMs && loaded > mostLoaded) {
			mostLoaded = loaded;
			maxLoadedAtMs = simulation.clock.now();
		}
	});
	await runScenario(simulation, createTrafficScenario(rushSeconds));
	unsubscribe();
	const measurements = {
		...computeAnswerMeasurements(simulation),
		engineSeconds: Math.round(loadedSamples * sampleIntervalMs / 1000),
		followMs: Math.round(maxLoadedAtMs - riseStartMs),
		mostLoaded,
		mostLoadsAtOnce: simulation.weightStore.peakConcurrentLoads,
	};
	await simulation.killRouters();
	return measurements;
}

function createSetupScenario({engines, loadedAtStart, minLoaded}: PoolPolicy): string {
	const names = Array.from({length: engines}, (_, index) => `e${index + 1}`);
	const unloadedNames = names.slice(loadedAtStart).join(' ');
	return [
		`pool language model=m weights=v1 slots=8 loads=${Math.min(2, engines)} least=${minLoaded}`,
		`engine ${names.slice(0, loadedAtStart).join(' ')} pool=language`,
		unloadedNames === '' ? '' : `engine ${unloadedNames} pool=language weights=none`,
		`route chat pool=language timeout=30s first=${promisedFirstTokenMs}ms`,
		'customer installer routes=chat rate=10000 burst=10000 concurrent=10000',
		'publish',
		`start ${routers}`,
		`ready ${routers}`,
		'wait 3s',
	].join('\n');
}

/** Creates the traffic, in requests per second: 1, then 10 and 25 for 10 s each, then 40, then 1 again. */
function createTrafficScenario(rushSeconds: number): string {
	const createFlow = (name: string, rate: number, seconds: number) =>
		[`flow ${name} ${routers} rate=${rate} for=${seconds}s prompt="exam rules of the faculty *40" tokens=60`, `wait ${seconds}s`];
	return [
		...createFlow('quiet', 1, quietSeconds),
		...createFlow('ramp', 10, 10),
		...createFlow('steep', 25, 10),
		...createFlow('rush', 40, rushSeconds),
		...createFlow('after', 1, 60),
		'wait 5min',
	].join('\n');
}

function computeAnswerMeasurements(simulation: Simulation): Pick<CapacityMeasurements, 'requests' | 'answeredRatio' | 'inTimeRatio' | 'ttftMsP50' | 'ttftMsP99'> {
	const histogram = build();
	let answered = 0;
	let inTime = 0;
	for (const call of simulation.calls.values()) {
		if (call.state !== 'answered' || call.firstByteMs === undefined) {
			continue;
		}

		const firstMs = call.firstByteMs - call.startedMs;
		answered++;
		inTime += firstMs <= promisedFirstTokenMs ? 1 : 0;
		histogram.recordValue(Math.round(firstMs));
	}

	const requests = simulation.calls.size;
	return {
		requests,
		answeredRatio: round(answered / requests),
		inTimeRatio: round(inTime / requests),
		ttftMsP50: histogram.getValueAtPercentile(50),
		ttftMsP99: histogram.getValueAtPercentile(99),
	};
}

async function runScenario(simulation: Simulation, text: string): Promise<void> {
	const result = await runSteps(simulation, 'bench', text);
	if (!result.ok) {
		throw new Error(`scenario of the capacity bench failed at line ${result.error.line}: ${result.error.message}`);
	}
}

function round(value: number): number {
	return Math.round(value * 10_000) / 10_000;
}
