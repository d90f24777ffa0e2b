/**
 * Simulates many instances that send requests to uneven targets, to compare ways
 * of choosing a target without a network: a third of the targets is faster for
 * good, each is slowed for a while now and then, and demand differs by
 * availability zone and swings. Instances hear of a target only through its
 * answers and the peers' reports of work.
 */
import {CachedParts} from '../cached-parts.ts';
import {chooseRelayTarget} from '../choose-target.ts';
import {TargetSet} from '../target-set.ts';
import type {TargetState} from '../target-state.ts';
import {ManualClock} from '#clock';
import {
	createRandom, type EngineTraits, type Random, type RelayTarget,
} from '#core';

/** `flooded` and `idle` are `new` without a pace: a target that has returned counts as recovered at once, or is avoided for a fixed time. */
export type Policy = 'new' | 'before' | 'least loaded' | 'round robin' | 'flooded' | 'idle';

export type UnevenLoad = Readonly<{
	seed: number; instances: number; targets: number;
	/** Requests per second over all instances; without `engine`, requests to plain services. */
	perSecond: number;
	engine?: EngineTraits; slots: number; durationMs: number;
	/** Whether the figure contains the lasting speed of the machine, or only how it differs from that now. */
	isFigureAbsolute?: boolean;
	/** Probability that a message of an instance to a peer is lost. */
	lossRatio?: number;
	/** Some targets, the first ones, end and start again; they take few requests at first, and one more with each ten that they have served. */
	restart?: Readonly<{targets: number; downMs: number; upMs: number}>;
}>;

export type UnevenResult = Readonly<{
	inTime: number; refused: number; p50Ms: number; p95Ms: number; p99Ms: number;
	/** Share of the requests that left their availability zone, and most requests that a target had at once. */
	crossZone: number; busiest: number;
	/** Refusals by targets that have returned, and requests that these have answered, in 6 s after that. */
	returnRefusals: number; returnAnswers: number;
}>;

const zones = ['a', 'b', 'c'];
/** Shares of the zones in the demand, and period and depth of its swing. */
const zoneShares = [0.39, 0.33, 0.28];
const swingMs = 17_000;
const swingDepth = 0.25;
const fastSpeed = 1.7;
const spellFactor = 2.5;
const spellMs = 600;
/** Time between the spells of a target, so that a seventh of the targets is in one. */
const betweenSpellsMs = 3600;
const figureMs = 50;
const tokensPerMs = 125;
const plainMs = 25;
const zoneWayMs = 1;
const reportMs = 1000;
const reportedPeers = 8;
const warmUpMs = 3000;
/** Requests that a target takes at once after its return, time for which `idle` avoids it, and time after the return that is counted. */
const firstRoom = 2;
const roomPerAnswer = 0.1;
const idleMs = 4000;
const returnMs = 6000;
/** Age from which a process does not count as started just now. */
const oldMs = 120_000;

/** A clock without timers, which a simulation steps by itself. */
class SimulatedClock extends ManualClock {
	readonly #getNowMs: () => number;

	constructor(getNowMs: () => number) {
		super();
		this.#getNowMs = getNowMs;
	}

	override now(): number {
		return this.#getNowMs();
	}
}

type Request = Readonly<{instance: Instance; urgency: number; tokens: number; size: number; objectiveMs: number; arrivedMs: number; excluded: Set<string>}>;
type Job = Request & {
	state: TargetState; aheadTokens: number; waitMs: number; leftMs: number; sentMs: number; arrivesMs: number; isRefused: boolean;
};
type Instance = Readonly<{name: string; zone: string; clock: SimulatedClock; set: TargetSet; random: Random; next: {value: number}}>;
type Machine = {
	isDown: boolean; room: number;
	target: RelayTarget; speed: number; slowUntilMs: number; nextSpellMs: number; figure: number; jobs: Job[];
};

export function simulateUnevenLoad(load: UnevenLoad, policy: Policy): UnevenResult {
	let nowMs = 0;
	const clock = new SimulatedClock(() => nowMs);
	// Arrivals and machines draw from generators of their own, so that all policies meet the same load.
	const arrivals = createRandom(load.seed);
	const machineRandom = createRandom(load.seed + 1);
	const fleetRandom = createRandom(load.seed + 2);
	const machines = Array.from({length: load.targets}, (_item, index): Machine => ({
		target: {
			id: `e${index}`, incarnation: `e${index}@1`, startedWallMs: 1, pool: 'p', address: `127.0.0.1:${index + 1}`, zone: zones[index % 3]!, slots: load.slots, isDraining: false,
			softwareVersion: 'v1', weights: new Map(load.engine ? [['m', 1]] : []),
		},
		speed: Math.floor(index / 3) % 3 === 0 ? fastSpeed : 1, slowUntilMs: 0, nextSpellMs: machineRandom.next() * betweenSpellsMs * 2,
		figure: 100, jobs: [], isDown: false, room: load.engine ? Infinity : load.slots,
	}));
	const instances = Array.from({length: load.instances}, (_item, index): Instance => {
		const set = new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1});
		set.update(machines.map(({target}) => target));
		return {
			name: `i${index}`, zone: zones[index % 3]!, clock, set, random: createRandom(load.seed + 100 + index), next: {value: index},
		};
	});
	const byZone = zones.map(zone => instances.filter(instance => instance.zone === zone));
	const cachedParts = new CachedParts();
	const machineByState = new Map(instances.flatMap(({set}) => set.list().map((state, index) => [state, machines[index]!] as const)));
	const {targets: returning, downMs, upMs} = load.restart ?? {targets: 0, downMs: -1, upMs: Infinity};
	const hasPace = policy === 'new';
	const times: number[] = [];
	const toAnswer: Job[] = [];
	let inTime = 0;
	let refused = 0;
	let crossZone = 0;
	let busiest = 0;
	let returnRefusals = 0;
	let returnAnswers = 0;

	const arrive = () => {
		let draw = arrivals.next();
		const zone = draw < zoneShares[0]! ? 0 : (draw < zoneShares[0]! + zoneShares[1]! ? 1 : 2);
		const instance = byZone[zone]![arrivals.integerBelow(byZone[zone]!.length)]!;
		draw = arrivals.next();
		const isLong = load.engine !== undefined && draw < 0.167;
		const size = 0.2 + (1.6 * arrivals.next());
		const tokens = load.engine ? Math.round((isLong ? 6610 : 1800) * size) : 0;
		const urgency = isLong ? 1 : 0;
		send({
			instance, urgency, tokens, objectiveMs: load.engine ? (isLong ? 619 : 810) : 149, arrivedMs: nowMs, excluded: new Set(), size,
		});
	};

	const send = (request: Request) => {
		const {instance, urgency, tokens, size} = request;
		const {state, waitMs} = chooseState(policy, load, instance, {
			nowMs, urgency, tokens, cachedParts, excluded: request.excluded,
		});
		const aheadTokens = state.sumWork(nowMs, urgency).tokens;
		const isCross = state.target.zone !== instance.zone;
		state.inFlight++;
		state.pendingTokens.add(urgency, tokens);
		state.pace.recordSent(waitMs, nowMs);
		crossZone += isCross && nowMs >= warmUpMs ? 1 : 0;
		machineByState.get(state)!.jobs.push({
			...request, state, aheadTokens, waitMs, isRefused: false, leftMs: load.engine ? (tokens + 300) / tokensPerMs : plainMs * size, sentMs: nowMs,
			arrivesMs: nowMs + (isCross ? zoneWayMs : 0),
		});
	};

	const answer = (job: Job, machine: Machine) => {
		const {state, urgency, tokens, aheadTokens, sentMs, arrivedMs, objectiveMs, waitMs, isRefused, excluded} = job;
		const {target} = state;
		const ms = nowMs - sentMs;
		const isMeasured = arrivedMs >= warmUpMs;
		const hasReturned = nowMs >= upMs && nowMs < upMs + returnMs && machines.indexOf(machine) < returning;
		state.inFlight--;
		state.pendingTokens.add(urgency, -tokens);
		const percent = policy === 'before' || policy === 'least loaded' || policy === 'round robin' ? {} : {percent: machine.figure};
		state.recordLoad({
			running: Math.min(load.slots, machine.jobs.length), waiting: Math.max(0, machine.jobs.length - load.slots), slots: load.slots, ...percent,
		}, nowMs);
		state.statements.recordOutcome(isRefused, state.inFlight, () => ({instances: load.instances, rank: 0}), nowMs);
		if (isRefused) {
			returnRefusals += hasReturned ? 1 : 0;
			if (hasPace) {
				state.pace.recordRefusal(state.countInProgress(nowMs), target.slots, sentMs, nowMs);
			}

			if (load.restart && excluded.size === 0) {
				excluded.add(target.id);
				send(job);
			} else {
				refused += isMeasured ? 1 : 0;
			}

			return;
		}

		returnAnswers += hasReturned ? 1 : 0;
		if (hasPace) {
			state.pace.recordAnswer({
				ms, expectedMs: waitMs, inProgress: state.countInProgress(nowMs), slots: target.slots,
			}, nowMs);
		}

		if (load.engine) {
			state.speed.recordAnswerStart(aheadTokens + tokens, ms, nowMs);
		} else {
			state.speed.recordServiceTime(ms, nowMs);
		}

		if (isMeasured) {
			times.push(nowMs - arrivedMs);
			inTime += nowMs - arrivedMs <= objectiveMs ? 1 : 0;
		}
	};

	/** Ends the first machines, and starts them again later as other processes. */
	const restart = () => {
		if (nowMs !== downMs && nowMs !== upMs) {
			return;
		}

		for (const machine of machines.slice(0, returning)) {
			machine.isDown = nowMs === downMs;
			if (machine.isDown) {
				refused += machine.jobs.length;
				for (const {state, urgency, tokens} of machine.jobs) {
					state.inFlight--;
					state.pendingTokens.add(urgency, -tokens);
				}

				machine.jobs = [];
			} else {
				machine.target = {...machine.target, incarnation: `${machine.target.id}@2`, startedWallMs: clock.getWallTimeMs() - (hasPace ? 0 : oldMs)};
				machine.room = firstRoom;
			}
		}

		for (const {set} of instances) {
			set.update(machines.filter(({isDown}) => !isDown).map(({target}) => target));
			for (const state of set.list()) {
				machineByState.set(state, machines.find(({target}) => target.id === state.target.id)!);
				if (state.target.startedWallMs > 1) {
					state.loadingUntilMs = policy === 'idle' ? nowMs + idleMs : state.loadingUntilMs;
				}
			}
		}
	};

	for (; nowMs < load.durationMs; nowMs++) {
		const rate = load.perSecond / 1000 * (1 + (swingDepth * Math.sin(2 * Math.PI * nowMs / swingMs)));
		for (let left = rate; left > 0; left--) {
			if (arrivals.next() < Math.min(1, left)) {
				arrive();
			}
		}

		restart();
		for (const machine of machines) {
			updateMachine(machine, load, nowMs, machineRandom);
			const present = listPresent(machine, load, nowMs);
			busiest = Math.max(busiest, nowMs >= warmUpMs ? present.length : 0);
			const work = machine.speed / (machine.slowUntilMs > nowMs ? spellFactor : 1);
			const served = present.slice(0, load.engine ? 1 : load.slots);
			for (const job of served) {
				job.leftMs -= work;
			}

			const done = new Set(served.filter(({leftMs}) => leftMs <= 0));
			const shed = new Set(present.toSorted((a, b) => a.arrivesMs - b.arrivesMs).slice(machine.room).filter(job => !done.has(job)));
			machine.room += (machine.target.startedWallMs > 1 ? roomPerAnswer : 0) * done.size;
			if (done.size + shed.size > 0) {
				machine.jobs = machine.jobs.filter(job => !done.has(job) && !shed.has(job));
				for (const job of [...done, ...shed]) {
					const wayMs = job.state.target.zone === job.instance.zone ? 0 : zoneWayMs;
					job.arrivesMs = nowMs + wayMs;
					job.isRefused = shed.has(job);
					toAnswer.push(job);
				}
			}
		}

		for (const job of toAnswer.splice(0)) {
			if (job.arrivesMs <= nowMs) {
				answer(job, machineByState.get(job.state)!);
			} else {
				toAnswer.push(job);
			}
		}

		for (const [index, instance] of instances.entries()) {
			if ((nowMs + (index * 17)) % reportMs === 0) {
				report(instance, instances, load, fleetRandom);
			}
		}
	}

	const sorted = times.toSorted((a, b) => a - b);
	const quantile = (part: number) => sorted[Math.floor(sorted.length * part)] ?? 0;
	const sent = sorted.length + refused;
	return {
		inTime: inTime / sent, refused: refused / sent, p50Ms: quantile(0.5), p95Ms: quantile(0.95), p99Ms: quantile(0.99), crossZone: crossZone / sent, busiest, returnRefusals, returnAnswers,
	};
}

/** Lists the requests that have arrived at a target, in the order in which it serves them: an engine one at a time by urgency, a plain service as many as it has slots, shedding the others. */
function listPresent({jobs}: Machine, {engine}: UnevenLoad, nowMs: number): readonly Job[] {
	const present = jobs.filter(({arrivesMs}) => arrivesMs <= nowMs);
	return engine ? present.toSorted((a, b) => a.urgency - b.urgency || a.arrivesMs - b.arrivesMs) : present;
}

function updateMachine(machine: Machine, {isFigureAbsolute = false}: UnevenLoad, nowMs: number, random: Random): void {
	if (nowMs >= machine.nextSpellMs) {
		machine.slowUntilMs = nowMs + (spellMs * (0.8 + (0.4 * random.next())));
		machine.nextSpellMs = machine.slowUntilMs + (betweenSpellsMs * (0.5 + random.next()));
	}

	if (nowMs % figureMs === 0) {
		const factor = (machine.slowUntilMs > nowMs ? spellFactor : 1) / (isFigureAbsolute ? machine.speed : 1);
		machine.figure = Math.round(100 * factor * (0.92 + (0.16 * random.next())));
	}
}

/** An instance tells some peers its work, as in a large fleet. */
function report({name, set}: Instance, instances: readonly Instance[], {lossRatio = 0}: UnevenLoad, random: Random): void {
	const work = set.listWork();
	for (let peer = 0; peer < reportedPeers; peer++) {
		const other = instances[random.integerBelow(instances.length)]!;
		if (other.name !== name && random.next() >= lossRatio) {
			other.set.applyPeerWork(name, work, other.clock.now());
		}
	}
}

type Arrival = Readonly<{excluded: ReadonlySet<string>; nowMs: number; urgency: number; tokens: number; cachedParts: CachedParts}>;

function chooseState(policy: Policy, {engine, instances}: UnevenLoad, {set, zone, random, next}: Instance, arrival: Arrival): Readonly<{state: TargetState; waitMs: number}> {
	const {nowMs, urgency, tokens, cachedParts, excluded} = arrival;
	const states = set.list();
	if (policy === 'round robin') {
		return {state: states[next.value++ % states.length]!, waitMs: 0};
	}

	if (policy === 'least loaded') {
		const rank = (state: TargetState) => Math.max((state.load?.running ?? 0) + (state.load?.waiting ?? 0), state.sumWork(nowMs, 0).requests) + (random.next() / 2);
		return {state: states.map(state => ({state, load: rank(state)})).toSorted((a, b) => a.load - b.load)[0]!.state, waitMs: 0};
	}

	const choice = chooseRelayTarget({
		targets: states, excluded, engine, prompt: engine && {
			model: 'm', inputTokens: tokens, maxOutputTokens: 50, parts: [{key: 'own', tokens}],
		}, cacheScope: 's', urgency, isRationed: true,
		publishedVersions: undefined, maxStaleWeightsMs: 8000, cachedParts, kvCacheStores: [], zone, maxConnections: 46, nowMs, random, getLimitSharing: () => ({instances, rank: 0}),
	});
	if (typeof choice === 'string') {
		throw new TypeError(choice);
	}

	return choice;
}
