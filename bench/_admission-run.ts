/**
 * One run of the admission bench: simulated instances admit Poisson arrivals in
 * front of engines that serve a fixed number of requests at once.
 */
import {Admission} from '#admission';
import {ManualClock} from '#clock';
import {
	createRandom, type Configuration, type Customer, type Random, type RoutedRequest,
} from '#core';
import {PeerNetworkStandin} from '#standins';
import {createTelemetry} from '#telemetry';

/** Parameters of a run. */
export type OverloadPlan = Readonly<{
	seed: number;
	/** Load as a multiple of the pool's capacity. */
	factor: number;
	/** Load of the first customer as a multiple of its equal share. */
	greedyFactor: number;
	isAdmitting: boolean;
}>;

/** Parameters and results of a run. */
export type OverloadMeasurements = OverloadPlan & Readonly<{
	/** Requests that started on an engine within the promised time, per second. */
	goodputPerSecond: number;
	/** Ratio of requests that started within the promised time, over all customers except the first. */
	othersInTime: number;
	refused: number;
	/** Requests that started after the promised time. */
	late: number;
	/** Maximum time between arrival and refusal, in milliseconds. */
	slowestRefusalMs: number;
}>;

const instanceCount = 8;
const customerCount = 8;
const targetCount = 6;
const slotsPerTarget = 8;
const serviceMs = 400;
const promisedFirstTokenMs = 1800;
const durationMs = 30_000;
const warmUpMs = 5000;
/** Requests that the engines of the pool run concurrently. */
const engineSlots = targetCount * slotsPerTarget;
const capacityPerSecond = engineSlots * 1000 / serviceMs;

type Counts = {inTime: number; othersInTime: number; othersSent: number; refused: number; late: number; slowestRefusalMs: number};

const pool = {
	name: 'language', kind: 'engine', pieceTokens: 2000, checksFencing: true, loadsAtOnce: 2, minLoaded: 1, slots: slotsPerTarget, targets: [],
} as const;
const route = {
	name: 'chat', pool: 'language', firstTokenMs: promisedFirstTokenMs, tokenGapMs: 39, timeoutMs: 60_000, repeatable: true, calls: [],
} as const;
const customers: readonly Customer[] = Array.from({length: customerCount}, (_, index) => ({
	name: `c${index}`, keyDigests: [], routes: ['chat'], weight: 1, priority: 5,
	limit: {requestsPerSecond: 1000, burst: 1000, concurrent: 1000},
}));

/** Models all engines of the pool as one first-in, first-out queue. */
class EngineQueue {
	readonly #clock: ManualClock;
	readonly #waiting: Array<() => void> = [];
	#running = 0;

	constructor(clock: ManualClock) {
		this.#clock = clock;
	}

	/** Runs a request; resolves to the time at which it started, in milliseconds. */
	async run(): Promise<number> {
		if (this.#running >= engineSlots) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
		} else {
			this.#running++;
		}

		const startedMs = this.#clock.now();
		await this.#clock.sleep(serviceMs);
		const next = this.#waiting.shift();
		if (next) {
			next();
		} else {
			this.#running--;
		}

		return startedMs;
	}
}

/** Runs the load of the plan in virtual time and measures it. */
export async function measureOverload(plan: OverloadPlan): Promise<OverloadMeasurements> {
	const clock = new ManualClock();
	const random = createRandom(plan.seed);
	const engines = new EngineQueue(clock);
	const admissions = createAdmissions(clock);
	const counts: Counts = {
		inTime: 0, othersInTime: 0, othersSent: 0, refused: 0, late: 0, slowestRefusalMs: 0,
	};
	const customerRequestsPerSecond = capacityPerSecond * plan.factor / customerCount;
	for (const [index, customer] of customers.entries()) {
		const ratePerMs = customerRequestsPerSecond * (index === 0 ? plan.greedyFactor : 1) / 1000;
		scheduleArrivals(clock, random, ratePerMs, () => {
			const admission = plan.isAdmitting ? admissions[random.integerBelow(instanceCount)] : undefined;
			void sendRequest({
				clock, engines, admission, counts,
			}, customer);
		});
	}

	await clock.advance(durationMs);
	for (const admission of admissions) {
		admission.close();
	}

	return {
		...plan,
		goodputPerSecond: counts.inTime * 1000 / (durationMs - warmUpMs - promisedFirstTokenMs),
		othersInTime: counts.othersInTime / counts.othersSent,
		refused: counts.refused, late: counts.late, slowestRefusalMs: counts.slowestRefusalMs,
	};
}

function createAdmissions(clock: ManualClock): readonly Admission[] {
	const network = new PeerNetworkStandin(clock);
	const configuration: Configuration = {
		generation: 1, routes: new Map([['chat', route]]), pools: new Map([['language', pool]]),
		customers: new Map(customers.map(customer => [customer.name, customer])),
	};
	const names = Array.from({length: instanceCount}, (_, index) => `r${index}`);
	const admissions = names.map(name => new Admission({
		clock, name, incarnation: `${name}!`, telemetry: createTelemetry({level: 'silent'}),
		bus: network.join({name, zone: 'a', incarnation: `${name}!`}),
		getConfiguration: () => configuration, countTargets: () => targetCount,
	}));
	for (const admission of admissions) {
		admission.updateInstances(names);
	}

	return admissions;
}

function scheduleArrivals(clock: ManualClock, random: Random, ratePerMs: number, handleArrival: () => void): void {
	const scheduleNext = () => {
		clock.setTimer(-Math.log(1 - random.next()) / ratePerMs, () => {
			handleArrival();
			scheduleNext();
		});
	};

	scheduleNext();
}

type OverloadContext = Readonly<{clock: ManualClock; engines: EngineQueue; admission?: Admission; counts: Counts}>;

async function sendRequest({clock, engines, admission, counts}: OverloadContext, customer: Customer): Promise<void> {
	const arrivedMs = clock.now();
	// The last arrivals are not counted: the run may end before they start.
	const isCounted = arrivedMs >= warmUpMs && arrivedMs < durationMs - promisedFirstTokenMs;
	const isOtherCustomer = customer !== customers[0];
	counts.othersSent += isCounted && isOtherCustomer ? 1 : 0;
	const admitted = await admission?.admit(createRequest(customer, arrivedMs), new AbortController().signal);
	if (admitted && !admitted.ok) {
		counts.refused += isCounted ? 1 : 0;
		counts.slowestRefusalMs = Math.max(counts.slowestRefusalMs, Math.round(clock.now() - arrivedMs));
		return;
	}

	const startedMs = await engines.run();
	admitted?.value.release();
	if (isCounted) {
		const isInTime = startedMs - arrivedMs <= promisedFirstTokenMs;
		counts.inTime += isInTime ? 1 : 0;
		counts.late += isInTime ? 0 : 1;
		counts.othersInTime += isInTime && isOtherCustomer ? 1 : 0;
	}
}

function createRequest(customer: Customer, nowMs: number): RoutedRequest {
	return {
		id: 'q', customer, route, pool, isRepeatable: true, arrivedMs: nowMs, deadlineMs: nowMs + route.timeoutMs,
		work: {
			kind: 'chat', messages: [], maxTokens: 1, extra: {},
		},
	};
}
