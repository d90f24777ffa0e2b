/** Simulates instances that send prompts to targets, some of which hold a part that crashes each target which begins to answer it. Instances are killed, restarted, cut off and added meanwhile. */
import {PartQuarantine, partStrikeOptions} from '../part-quarantine.ts';
import {runQuarantineArchive} from '../quarantine-archive.ts';
import {Quarantine} from '../quarantine.ts';
import {runStrikeSync} from '../strike-sync.ts';
import {ManualClock} from '#clock';
import {createRandom, prepareHash, type Prompt} from '#core';
import {PeerNetworkStandin, PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

/** Disturbance of the instances: `restarts` kills one at a time, `power` all at once, `cuts` isolates one from its peers, and `late` adds instances. */
export type Disturbance = 'none' | 'restarts' | 'power' | 'cuts' | 'late';

export type FleetOptions = Readonly<{
	instances: number;
	seed: number;
	disturbance: Disturbance;
	/** Duration of the simulation, in milliseconds. Default: 30 000. */
	durationMs?: number;
	/** Number of parts that crash targets. Default: 1. */
	crashingParts?: number;
	/** Sound requests per second over all instances. Default: 30. */
	soundPerSecond?: number;
	/** Requests per second with a crashing part. Default: 4. */
	crashingPerSecond?: number;
	/** Time at which all targets crash for another reason, in milliseconds. Default: never. */
	massCrashMs?: number;
}>;

export type FleetResult = Readonly<{
	/** Crashes caused by a part. */
	crashes: number;
	/** Most requests with one part that reached targets later than the contact time after that part's fifth crash, from instances in touch. */
	lateArrivals: number;
	/** Share of the sound requests that were admitted at their first attempt, from twice the contact time after the fifth or last crash on; 1 before any crash. */
	admittedShare: number;
}>;

type Instance = {readonly name: string; parts: PartQuarantine; stop: () => void; isUp: boolean; inTouchSinceMs: number};
type Target = {readonly index: number; incarnation: number; isUp: boolean; readonly attempts: Set<Attempt>};
type Attempt = Readonly<{instance: Instance; prompt: Prompt}>;

const contactMs = 3000;
const targetCount = 13;
const targetRestartMs = 3500;
const stepMs = 20;
const stepsPerSecond = 1000 / stepMs;
const telemetry = createTelemetry({level: 'silent'});

/** Runs a fleet and returns what its targets and callers saw. */
export async function runFleet(options: FleetOptions): Promise<FleetResult> {
	const {
		instances: instanceCount, seed, disturbance, durationMs = 30_000, crashingParts = 1, massCrashMs, soundPerSecond = 30, crashingPerSecond = 4,
	} = options;
	await prepareHash();
	const clock = new ManualClock();
	const random = createRandom(seed);
	const network = new PeerNetworkStandin(clock, {latencyMs: 2});
	const store = new PlatformStandin(clock);
	const instances: Instance[] = [];
	const targets: Target[] = Array.from({length: targetCount}, (_item, index) => ({
		index, incarnation: 0, isUp: true, attempts: new Set<Attempt>(),
	}));
	const crashTimes = Array.from({length: crashingParts}, () => [] as number[]);
	const lateArrivals = Array.from({length: crashingParts}, () => 0);
	const soundRequests: Array<Readonly<{atMs: number; isAdmitted: boolean}>> = [];
	let processes = 0;

	const getRank = (self: string, duty: string) => {
		const live = instances.filter(({isUp}) => isUp).map(({name}) => name);
		const hash = (name: string) => [...`${duty} ${name}`].reduce((sum, char) => ((sum * 31) + char.codePointAt(0)!) % 1_000_003, 7);
		return live.filter(name => hash(name) < hash(self)).length;
	};

	const boot = (name: string): Instance => {
		const bus = network.join({name, zone: 'z', incarnation: `${name}@${processes++}`});
		const strikes = new Quarantine({
			clock, random: createRandom(seed + processes), telemetry, bus,
		}, partStrikeOptions);
		const stopping = new AbortController();
		const rank = (duty: string) => getRank(name, duty);
		void runStrikeSync({
			clock, telemetry, bus, quarantines: [strikes],
		}, stopping.signal);
		void runQuarantineArchive({
			clock, telemetry, store, kind: 'q', quarantine: strikes, getRank: rank,
		}, stopping.signal);
		return {
			name, isUp: true, inTouchSinceMs: clock.now(), parts: new PartQuarantine({
				clock, telemetry, strikes, getRank: rank,
			}),
			stop() {
				strikes.close();
				stopping.abort();
				network.leave(name);
			},
		};
	};

	const addInstance = () => {
		instances.push(boot(`n${instances.length}`));
	};

	const kill = (instance: Instance) => {
		if (instance.isUp) {
			instance.isUp = false;
			instance.stop();
			clock.setTimer(300 + random.integerBelow(1500), () => {
				Object.assign(instance, boot(instance.name));
			});
		}
	};

	const cut = (instance: Instance) => {
		network.setIsolated(instance.name, true);
		instance.inTouchSinceMs = Infinity;
		clock.setTimer(1000 + random.integerBelow(5000), () => {
			network.setIsolated(instance.name, false);
			instance.inTouchSinceMs = clock.now();
		});
	};

	const pickInstance = () => instances[random.integerBelow(instances.length)]!;
	const disturbances: Readonly<Record<Disturbance, () => void>> = {
		none: () => undefined,
		restarts() {
			kill(pickInstance());
		},
		power() {
			for (const instance of instances) {
				kill(instance);
			}
		},
		cuts() {
			cut(pickInstance());
		},
		late() {
			addInstance();
		},
	};

	const crash = (target: Target) => {
		target.isUp = false;
		const incarnation = `i${target.incarnation++}`;
		for (const {instance, prompt} of target.attempts) {
			const {parts} = instance;
			clock.setTimer(1 + random.integerBelow(30), () => {
				parts.recordCrash(prompt, `t${target.index}`, incarnation);
			});
		}

		target.attempts.clear();
		clock.setTimer(targetRestartMs, () => {
			target.isUp = true;
		});
	};

	/** Sends a prompt; `crashing` is the index of the crashing part that it holds. */
	const send = (prompt: Prompt, crashing: number | undefined) => {
		const up = targets.filter(({isUp}) => isUp);
		const instance = pickInstance();
		if (!instance.isUp || up.length === 0) {
			return;
		}

		const admission = instance.parts.admit(prompt);
		if (crashing === undefined) {
			soundRequests.push({atMs: clock.now(), isAdmitted: admission.isAdmitted});
		}

		if (!admission.isAdmitted) {
			return;
		}

		const {parts} = instance;
		const target = up[random.integerBelow(up.length)]!;
		const attempt: Attempt = {instance, prompt};
		target.attempts.add(attempt);
		const fifthMs = crashing === undefined ? undefined : crashTimes[crashing]![4];
		if (fifthMs !== undefined && clock.now() > fifthMs + contactMs && clock.now() >= instance.inTouchSinceMs + contactMs) {
			lateArrivals[crashing!]!++;
		}

		clock.setTimer(40 + random.integerBelow(300), () => {
			if (target.attempts.has(attempt) && crashing !== undefined) {
				crashTimes[crashing]!.push(clock.now());
				crash(target);
			} else if (target.attempts.delete(attempt)) {
				parts.recordAnswer(prompt);
			}

			// An instance learns of a crash before it releases the admission.
			clock.setTimer(40, admission.release);
		});
	};

	const createPrompt = (keys: readonly string[]): Prompt => ({
		model: 'm', inputTokens: 1000, maxOutputTokens: 10, parts: [...keys, `own${random.integerBelow(1_000_000)}`].map(key => ({key, tokens: 100})),
	});
	for (let index = 0; index < instanceCount; index++) {
		addInstance();
	}

	const startMs = clock.now();
	for (let step = 0; step * stepMs < durationMs; step++) {
		const nowMs = step * stepMs;
		if (nowMs > 4000 && nowMs % 2000 === 0 && random.next() < 0.5) {
			disturbances[disturbance]();
		}

		if (massCrashMs !== undefined && nowMs === massCrashMs) {
			for (const target of targets) {
				crash(target);
			}
		}

		const topics = [`topic${random.integerBelow(5)}`, `file${random.integerBelow(20)}`];
		if (random.next() < soundPerSecond / stepsPerSecond) {
			send(createPrompt(['preamble', ...topics]), undefined);
		}

		if (nowMs > 1000 && random.next() < crashingPerSecond / stepsPerSecond) {
			const crashing = random.integerBelow(crashingParts);
			send(createPrompt(['preamble', `bad${crashing}`, ...topics.slice(random.integerBelow(3))]), crashing);
		}

		await clock.advance(stepMs);
	}

	for (const instance of instances) {
		instance.stop();
	}

	const judgedMs = startMs + (2 * contactMs) + Math.max(...crashTimes.map(times => times[4] ?? times.at(-1) ?? 0), massCrashMs ?? 0);
	const judged = soundRequests.filter(({atMs}) => atMs >= judgedMs);
	return {
		crashes: crashTimes.flat().length, lateArrivals: Math.max(...lateArrivals),
		admittedShare: judged.length === 0 ? 1 : judged.filter(({isAdmitted}) => isAdmitted).length / judged.length,
	};
}
