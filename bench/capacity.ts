/**
 * Capacity from near nothing to a deadline rush and back, against pools of a
 * fixed size: whole routers and stand-in engines on a manual clock.
 */
import process from 'node:process';
import type {Command} from 'commander';
import {build} from 'hdr-histogram-js';
import {runSteps, World} from '#scenario';

type Options = Readonly<{json?: boolean; quick?: boolean}>;

/** What one pool did. */
type CapacityFigures = Readonly<{
	requests: number;
	answeredRatio: number;
	/** Share answered in full whose first token came within the promise. */
	inTimeRatio: number;
	ttftMsP50: number;
	ttftMsP99: number;
	/** Seconds for which an engine kept weights loaded, summed over engines. */
	engineSeconds: number;
	/** From the start of the rush to the most engines loaded during it. */
	followMs: number;
	mostLoaded: number;
	mostLoadsAtOnce: number;
}>;

type Policy = Readonly<{engines: number; loadedAtStart: number; least: number}>;

const policies: Readonly<Record<string, Policy>> = {
	fixedOne: {engines: 1, loadedAtStart: 1, least: 1},
	fixedThree: {engines: 3, loadedAtStart: 3, least: 3},
	fixedSix: {engines: 6, loadedAtStart: 6, least: 6},
	following: {engines: 6, loadedAtStart: 1, least: 1},
};

const promisedMs = 1800;
const sampleMs = 100;
const routers = 'r1 r2 r3 r4 r5 r6 r7 r8';
const quietSeconds = 60;

/** Registers `bench capacity`. */
export function registerCapacityBench(program: Command): void {
	program.command('capacity')
		.description('Capacity that follows demand against fixed pools, in virtual time.')
		.option('--json', 'print the figures as JSON')
		.option('--quick', 'a rush of 30 s in place of 120 s')
		.action(runCapacityBench);
}

async function runCapacityBench(options: Options): Promise<void> {
	const rushSeconds = options.quick ? 30 : 120;
	const figures: Record<string, CapacityFigures> = {};
	for (const [name, policy] of Object.entries(policies)) {
		figures[name] = await measure(policy, rushSeconds);
	}

	if (options.json) {
		process.stdout.write(`${JSON.stringify({rushSeconds, policies: figures})}\n`);
		return;
	}

	console.table(figures);
}

async function measure(policy: Policy, rushSeconds: number): Promise<CapacityFigures> {
	const world = new World();
	await runOrThrow(world, makeSetup(policy));
	const rushMs = world.clock.now() + (quietSeconds * 1000);
	let loadedSamples = 0;
	let mostLoaded = 0;
	let mostAtMs = rushMs;
	const unsubscribe = world.clock.subscribe(sampleMs, () => {
		const loaded = [...world.engines.values()].filter(engine => engine.weights !== undefined).length;
		loadedSamples += loaded;
		if (world.clock.now() >= rushMs && loaded > mostLoaded) {
			mostLoaded = loaded;
			mostAtMs = world.clock.now();
		}
	});
	await runOrThrow(world, makeTraffic(rushSeconds));
	unsubscribe();
	const figures = {
		...readAnswers(world),
		engineSeconds: Math.round(loadedSamples * sampleMs / 1000),
		followMs: Math.round(mostAtMs - rushMs),
		mostLoaded,
		mostLoadsAtOnce: world.weightStore.mostAtOnce,
	};
	await world.end();
	return figures;
}

function makeSetup({engines, loadedAtStart, least}: Policy): string {
	const names = Array.from({length: engines}, (_, index) => `e${index + 1}`);
	const empty = names.slice(loadedAtStart).join(' ');
	return [
		`pool language model=m weights=v1 slots=8 loads=${Math.min(2, engines)} least=${least}`,
		`engine ${names.slice(0, loadedAtStart).join(' ')} pool=language`,
		empty === '' ? '' : `engine ${empty} pool=language weights=none`,
		`route chat pool=language timeout=30s first=${promisedMs}ms`,
		'customer installer routes=chat rate=10000 burst=10000 concurrent=10000',
		'publish',
		`start ${routers}`,
		`ready ${routers}`,
		'wait 3s',
	].join('\n');
}

/** Requests a second: 1, then over 20 s up to 40, then 1 again. */
function makeTraffic(rushSeconds: number): string {
	const flow = (name: string, rate: number, seconds: number) =>
		[`flow ${name} ${routers} rate=${rate} for=${seconds}s prompt="exam rules of the faculty *40" tokens=60`, `wait ${seconds}s`];
	return [
		...flow('quiet', 1, quietSeconds),
		...flow('ramp', 10, 10),
		...flow('steep', 25, 10),
		...flow('rush', 40, rushSeconds),
		...flow('after', 1, 60),
		'wait 5min',
	].join('\n');
}

function readAnswers(world: World): Pick<CapacityFigures, 'requests' | 'answeredRatio' | 'inTimeRatio' | 'ttftMsP50' | 'ttftMsP99'> {
	const histogram = build();
	let answered = 0;
	let inTime = 0;
	for (const call of world.calls.values()) {
		if (call.state !== 'answered' || call.firstByteMs === undefined) {
			continue;
		}

		const firstMs = call.firstByteMs - call.startedMs;
		answered++;
		inTime += firstMs <= promisedMs ? 1 : 0;
		histogram.recordValue(Math.round(firstMs));
	}

	const requests = world.calls.size;
	return {
		requests,
		answeredRatio: round(answered / requests),
		inTimeRatio: round(inTime / requests),
		ttftMsP50: histogram.getValueAtPercentile(50),
		ttftMsP99: histogram.getValueAtPercentile(99),
	};
}

async function runOrThrow(world: World, text: string): Promise<void> {
	const result = await runSteps(world, 'bench', text);
	if (!result.ok) {
		throw new Error(`line ${result.error.line}: ${result.error.message}`);
	}
}

function round(value: number): number {
	return Math.round(value * 10_000) / 10_000;
}
