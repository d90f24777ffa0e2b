/** Simulates callers, instances and engines on a load that exceeds the engines' capacity, with the choice of targets that instances make. */
import {startWork} from '../_attempt.ts';
import {CachedParts} from '../cached-parts.ts';
import {PublishedWeights} from '../published-weights.ts';
import {RelayProgress} from '../_progress.ts';
import {TargetChooser} from '../_target-chooser.ts';
import {TargetSet} from '../target-set.ts';
import {limitedCustomers} from './limited-customers.ts';
import {SimulatedEngine} from './simulated-engine.ts';
import {ManualClock, SuspensionMonitor} from '#clock';
import {
	createRandom, type EngineTraits, type Prompt, type Random, type RelayPool, type RelayRequest, type RelayRoute, type RelayTarget,
} from '#core';

/** A load, in multiples of the engines' capacity. */
export type ScarceLoad = Readonly<{
	factor: number;
	seed: number;
	/** Engines that are down from 5 s to 9 s, without notice for the first 0.5 s. */
	downEngines?: number;
	/** Requests that use more memory than time: long answers. */
	outputTokens?: number;
	/** Number of peers that hear of an instance's work, each second; all of them, each 100 ms, if absent. */
	samplePeers?: number;
}>;

/** Outcomes of one kind of requests, with those of its largest tenth. */
export type KindOutcomes = {
	total: number; inTime: number; late: number; refused: number; failed: number;
	largest: {total: number; refused: number};
};

export type ScarceOutcomes = Readonly<{
	triage: KindOutcomes; review: KindOutcomes;
	/** Tokens of shared parts, and those that an engine read although one had read them before. */
	sharedTokens: number; rereadTokens: number;
	preemptions: number; engineRefusals: number;
	/** Refusals by instances, and those while fewer than half of the slots were in use and nothing waited. */
	refusals: number; wrongRefusals: number;
}>;

type Kind = 'triage' | 'review';

const instanceCount = 12;
const engineCount = 6;
const engine: EngineTraits = {
	slots: 64, cacheTokens: 224_718, bytesPerToken: 18_432, linkMbps: 100_000, models: ['m'],
};
const engineOptions = {
	slots: 64, memoryTokens: 224_718, maxWaiting: 192, tokensPerMs: 55, minStepMs: 2.89, chunkTokens: 2048,
};
const pool: RelayPool = {
	name: 'p', healthPath: '/', maxConnections: 840, engine,
};
const zones = ['a', 'b', 'c'];

const measureFromMs = 3000;
const measureUntilMs = 13_000;
const endMs = 30_000;

/** Share of the engines' time that reading unshared tokens may take at most; the rest is for answers and parts. */
const readShare = 0.9;
const triageShare = 262 / 303;
const ownTokens = {triage: 1800, review: 6610};

function createRoute(name: Kind): RelayRoute {
	const shared = {
		name, host: 'h', pathPrefix: '/', pools: [{pool: 'p', weight: 1}], isStream: true, isPublic: true, promisedGapMs: 600,
	};
	return name === 'triage'
		? {
			...shared, retryPolicy: 'resume', maxTargets: 2, timeoutMs: 3057, promisedMs: 510, priority: 0,
		}
		: {
			...shared, retryPolicy: 'once', maxTargets: 1, timeoutMs: 15_146, promisedMs: 2019, priority: 2,
		};
}

const routes = {triage: createRoute('triage'), review: createRoute('review')};

function createPrompt(kind: Kind, size: number, random: Random, outputTokens: number): Prompt {
	const parts = kind === 'review'
		? listParts('l', random.integerBelow(60), 3, [512, 4870])
		: listParts('s', random.integerBelow(80), 20, [341, 227]);
	const own = Math.round(ownTokens[kind] * size);
	return {
		model: 'm', inputTokens: parts.reduce((sum, {tokens}) => sum + tokens, own), maxOutputTokens: kind === 'review' ? outputTokens : 3, parts: [...parts, {key: 'own', tokens: own}],
	};
}

function listParts(prefix: string, subject: number, preambles: number, [preambleTokens, subjectTokens]: readonly [number, number]): Prompt['parts'] {
	return [{key: `${prefix}p${subject % preambles}`, tokens: preambleTokens}, {key: `${prefix}d${subject}`, tokens: subjectTokens}];
}

function createOutcomes(): KindOutcomes {
	return {
		total: 0, inTime: 0, late: 0, refused: 0, failed: 0, largest: {total: 0, refused: 0},
	};
}

/** Runs one load. */
// eslint-disable-next-line complexity -- the steps of the simulation share its state
export function simulateScarceLoad({factor, seed, downEngines = 0, outputTokens = 48, samplePeers}: ScarceLoad): ScarceOutcomes {
	const random = createRandom(seed);
	let nowMs = 0;
	const clock = new ManualClock();
	clock.now = () => nowMs;
	const timers = new Map<number, Array<() => void>>();
	const schedule = (atMs: number, handler: () => void) => {
		const key = Math.max(nowMs + 1, Math.ceil(atMs));
		timers.set(key, [...timers.get(key) ?? [], handler]);
	};

	const everRead = new Set<string>();
	const engines = new Map(Array.from({length: engineCount}, (_item, index) => [`e${index}`, new SimulatedEngine(engineOptions, everRead, key => {
		for (const {cachedParts} of instances) {
			cachedParts.remove(key, `e${index}@1`);
		}
	})]));
	const listTargets = (): readonly RelayTarget[] => [...engines.keys()].map((id, index) => ({
		id, incarnation: `${id}@1`, startedWallMs: 1, pool: 'p', address: `127.0.0.1:${index + 1}`, zone: zones[index % 3]!, slots: 64,
		isDraining: false, softwareVersion: 'v1', weights: new Map([['m', 1]]),
	}));
	const instances = Array.from({length: instanceCount}, (_item, index) => {
		const targets = new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1});
		targets.update(listTargets());
		const cachedParts = new CachedParts();
		const chooser = new TargetChooser({
			clock, random, targets, cachedParts, listKvCacheStores: () => [], publishedWeights: new PublishedWeights({clock, suspensions: new SuspensionMonitor(clock)}),
			maxStaleWeightsMs: 8000, zone: zones[index % 3]!, countInstances: () => instanceCount, getLimitSharing: () => ({instances: 1, rank: 0}),
			getConfiguration: () => ({routes: Object.values(routes), customers: limitedCustomers}), telemetry: {count: () => undefined},
		});
		return {
			index, targets, cachedParts, chooser,
		};
	});
	type Instance = (typeof instances)[number];
	const outcomes = {triage: createOutcomes(), review: createOutcomes()};
	let engineRefusals = 0;
	let refusals = 0;
	let wrongRefusals = 0;
	const listUp = () => [...engines.values()].filter(({isDown}) => !isDown);

	const arrive = (kind: Kind, instance: Instance) => {
		const route = routes[kind];
		const arrivedMs = nowMs;
		const deadlineMs = nowMs + route.timeoutMs;
		const size = 0.2 + (1.6 * random.next());
		const isMeasured = nowMs >= measureFromMs && nowMs < measureUntilMs;
		const isLargest = size > 1.64;
		const prompt = createPrompt(kind, size, random, outputTokens);
		const outcome = outcomes[kind];
		const record = (result: 'inTime' | 'late' | 'refused' | 'failed') => {
			if (isMeasured) {
				outcome.total++;
				outcome[result]++;
				outcome.largest.total += isLargest ? 1 : 0;
				outcome.largest.refused += isLargest && result === 'refused' ? 1 : 0;
			}
		};

		const request: RelayRequest = {
			id: `r${nowMs}`, method: 'POST', path: '/', headers: [], body: undefined, route, customer: undefined, prompt, cacheScope: 's', lastEventId: undefined, resumedRequestId: undefined,
			softwareVersion: undefined, configurationVersion: 1, arrivedMs, deadlineMs,
		};
		const refuse = ({retryAfterMs = 300}: RelayProgress) => {
			// A caller returns if that is within a third of the time that it has left.
			if (retryAfterMs <= (deadlineMs - nowMs) / 3) {
				schedule(nowMs + retryAfterMs, () => {
					send(new RelayProgress(request, pool));
				});
			} else {
				record('refused');
			}
		};

		const send = (progress: RelayProgress) => {
			const chosen = instance.chooser.choose(progress);
			if (!chosen) {
				refusals++;
				const slots = listUp().reduce((sum, {running}) => sum + running, 0);
				wrongRefusals += progress.cause === 'overloaded' && slots < engineCount * 32 && listUp().every(({waiting}) => waiting === 0) ? 1 : 0;
				refuse(progress);
				return;
			}

			const {choice: {state, source, partKeys}, urgency} = chosen;
			const simulated = engines.get(state.target.id)!;
			const work = startWork({clock, cachedParts: instance.cachedParts}, {request, ...chosen});
			let isDone = false;
			let startedMs: number | undefined;
			const finish = () => {
				isDone = true;
				work.finish();
			};

			if (simulated.isDown) {
				schedule(nowMs + 1, () => {
					finish();
					state.suspect(nowMs + 2000);
					progress.excluded.add(state.target.id);
					send(progress);
				});
				return;
			}

			const remove = simulated.add({
				prompt, partKeys, urgency, canFetch: key => source !== undefined && engines.get(source.id)!.hasPart(key),
				handleStart() {
					startedMs ??= nowMs;
					work.handleAnswerStart();
					state.recordLoad({running: simulated.running, waiting: simulated.waiting, slots: 64}, nowMs);
				},
				handleEnd() {
					finish();
					record(startedMs! - arrivedMs <= route.promisedMs ? 'inTime' : 'late');
				},
			});
			if (!remove) {
				engineRefusals++;
				finish();
				state.recordLoad({running: simulated.running, waiting: simulated.waiting, slots: 64}, nowMs);
				for (const key of partKeys) {
					instance.cachedParts.remove(key, state.target.incarnation);
				}

				progress.sentAttempts++;
				progress.excluded.add(state.target.id);
				if (progress.sentAttempts < 3) {
					send(progress);
				} else {
					refuse(progress);
				}

				return;
			}

			const end = () => {
				if (!isDone) {
					remove();
					finish();
					record('failed');
				}
			};

			schedule(deadlineMs, end);
			schedule(nowMs + 200, function check() {
				// A crash ends the connection.
				if (!isDone && simulated.isDown) {
					state.suspect(nowMs + 2000);
					end();
				} else if (!isDone) {
					schedule(nowMs + 200, check);
				}
			});
		};

		send(new RelayProgress(request, pool));
	};

	const exchange = () => {
		for (const from of instances) {
			const work = from.targets.listWork();
			const parts = from.cachedParts.takeNewParts(4096);
			for (const to of instances) {
				const distance = (to.index - from.index + instanceCount) % instanceCount;
				if (distance > 0 && distance <= (samplePeers ?? instanceCount)) {
					to.targets.applyPeerWork(`i${from.index}`, work, nowMs);
					for (const {key, incarnation} of parts) {
						to.cachedParts.record(key, incarnation, nowMs);
					}
				}
			}
		}
	};

	const meanTokens = (triageShare * ownTokens.triage) + ((1 - triageShare) * ownTokens.review);
	const arrivalsPerMs = factor * engineCount * engineOptions.tokensPerMs * readShare / meanTokens;
	for (; nowMs < endMs; nowMs++) {
		for (const handler of timers.get(nowMs) ?? []) {
			handler();
		}

		timers.delete(nowMs);
		if (nowMs < measureUntilMs + 2000) {
			for (let expected = arrivalsPerMs; expected > 0; expected--) {
				if (random.next() < expected) {
					arrive(random.next() < triageShare ? 'triage' : 'review', instances[random.integerBelow(instanceCount)]!);
				}
			}
		}

		if (nowMs % (samplePeers === undefined ? 100 : 1000) === 0) {
			exchange();
		}

		for (const [index, simulated] of [...engines.values()].entries()) {
			if (index < downEngines && nowMs === 5000) {
				simulated.crash();
			} else if (index < downEngines && nowMs === 9000) {
				simulated.resume(nowMs);
			}

			if (index < downEngines && nowMs >= 5500 && nowMs < 9000 && nowMs % 500 === 0) {
				for (const {targets} of instances) {
					targets.get(`e${index}`)!.suspect(nowMs + 1000);
				}
			}

			simulated.advance(nowMs);
		}
	}

	const sum = (get: (simulated: SimulatedEngine) => number) => [...engines.values()].reduce((total, simulated) => total + get(simulated), 0);
	return {
		...outcomes, sharedTokens: sum(({sharedTokens}) => sharedTokens), rereadTokens: sum(({rereadTokens}) => rereadTokens), preemptions: sum(({preemptions}) => preemptions),
		engineRefusals, refusals, wrongRefusals,
	};
}
