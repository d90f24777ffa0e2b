/**
 * Instances with {@link CustomerLimits} and a bus on one manual clock, and callers
 * that send to them: the load of a deployment, without a network or targets.
 */
import {CustomerLimits, type LimitTolerance} from '../customer-limits.ts';
import {ManualClock, type Cancel} from '#clock';
import {createRandom, type Random, type WorkLimit} from '#core';
import type {
	Peer, PeerBus, PeerMessage, PeerMessageHandler,
} from '#peer-protocol';
import {createTelemetry} from '#telemetry';

/** Options of {@link LimitFleet}. */
export type LimitFleetOptions = Readonly<{
	seed: number;
	instances?: number;
	callers?: number;
	customers?: number;
	/** Sum of the usual demand of all customers, in units per second. */
	usualPerSecond?: number;
	/** Burst of the limits, in seconds at the rate. */
	burstS?: number;
	tolerance?: LimitTolerance;
}>;

/** One caller: its customer, usual requests per second, and instance. */
type Caller = {readonly customer: string; readonly perSecond: number; instance: number};

/** A request of a caller, and how it was decided. `isWithin` is whether one bucket for all instances would have admitted it. */
export type SentRequest = Readonly<{customer: string; atMs: number; cost: number; isAdmitted: boolean; isWithin: boolean; isBursting: boolean}>;

type Member = {peer: Peer; limits: CustomerLimits; handlers: Set<PeerMessageHandler<'demand'>>; isCut: boolean; isDown: boolean; neighbours: Set<number>; cutMs: number | undefined; startedMs: number};

const linkDelayMs = 2;

/** Time after which an instance that does not answer is taken to be gone, in milliseconds: heartbeats that are missed, and the suspicion. */
const detectionMs = 4000;

/** Time after which a link is closed that carries nothing, in milliseconds. */
const linkTimeoutMs = 1500;

/** Time from the end of a cut to the opening of a link, in milliseconds. */
const redialMs = 1000;
const neighboursPerInstance = 5;

/** Bytes of a message besides what is stated about customers: the CBOR envelope (71) and the frame's header (4), as `peer_bytes_total` counts. */
const messageBytes = 75;

/** Requests by size: 13% large prompts, 86% small ones; the largest costs 70,000. */
export function drawCost(random: Random): number {
	const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
	const isLarge = random.next() < 0.135;
	return Math.round(Math.min(70_000, isLarge ? 12_040 * Math.exp((0.6 * normal) - 0.18) : 2371 * Math.exp((0.6 * normal) - 0.18)));
}

/** Mean of {@link drawCost}. */
const meanCost = 3676;

export class LimitFleet {
	readonly clock = new ManualClock();
	readonly random: Random;
	readonly members: Member[] = [];
	readonly limits = new Map<string, WorkLimit>();
	readonly requests: SentRequest[] = [];
	/** Factor by which the load of a customer exceeds the usual one. */
	readonly factors = new Map<string, number>();
	readonly tolerance: LimitTolerance;
	sentBytes = 0;
	sentMessages = 0;
	readonly #callers: Caller[] = [];
	readonly #buckets = new Map<string, {level: number; atMs: number}>();
	#starts = 0;

	constructor({seed, instances = 87, callers = 129, customers = 16, usualPerSecond = 1_200_000, burstS = 1, tolerance = {windowMs: 8000, ratio: 0.1, slack: 140_000}}: LimitFleetOptions) {
		this.random = createRandom(seed);
		this.tolerance = tolerance;
		// The smallest limit is some 95,000 units per second, the three largest are three times as much.
		const weights = Array.from({length: customers}, (_item, index) => index < 3 ? 3 : 1 + (0.02 * (index - 3)));
		const sum = weights.reduce((total, weight) => total + weight, 0);
		const names = weights.map((_weight, index) => `customer-${index}`);
		for (const [index, name] of names.entries()) {
			const perSecond = 1.8 * usualPerSecond * weights[index]! / sum;
			this.limits.set(name, {
				unit: 'tokens', perSecond, burst: perSecond * burstS, plainTokens: 100,
			});
		}

		for (const [index, name] of names.entries()) {
			const count = Math.max(4, Math.round(callers * weights[index]! / sum));
			const parts = Array.from({length: count}, () => 0.4 + this.random.next());
			const total = parts.reduce((a, b) => a + b, 0);
			for (const part of parts) {
				this.#callers.push({
					customer: name, perSecond: usualPerSecond * weights[index]! / sum / meanCost * part / total, instance: this.random.integerBelow(instances),
				});
			}
		}

		for (let index = 0; index < instances; index++) {
			this.members.push(undefined as never); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- filled in at once
			this.#start(index);
		}

		for (let index = 0; index < instances; index++) {
			while (this.members[index]!.neighbours.size < neighboursPerInstance) {
				const other = this.random.integerBelow(instances);
				if (other !== index) {
					this.members[index]!.neighbours.add(other);
				}
			}
		}

		for (const [index, member] of this.members.entries()) {
			for (const other of member.neighbours) {
				this.members[other]!.neighbours.add(index);
			}
		}
	}

	/** Lets callers send for a while. */
	async run(durationMs: number): Promise<void> {
		const cancels: Cancel[] = [];
		for (const caller of this.#callers) {
			const schedule = () => {
				const meanMs = 1000 / (caller.perSecond * (this.factors.get(caller.customer) ?? 1));
				cancels.push(this.clock.setTimer(Math.min(-Math.log(1 - this.random.next()) * meanMs, 2000), () => {
					this.#send(caller);
					schedule();
				}));
			};

			schedule();
		}

		await this.clock.advance(durationMs);
		for (const cancel of cancels) {
			cancel();
		}
	}

	/** Cuts the links of an instance, or restores them; its callers still reach it. */
	setCut(index: number, isCut: boolean): void {
		const member = this.members[index]!;
		member.isCut = isCut;
		member.cutMs = isCut ? this.clock.now() : undefined;
	}

	/** Kills an instance and starts it again after a while; its callers go to another one in between. */
	kill(index: number, downMs: number): void {
		const member = this.members[index]!;
		member.isDown = true;
		member.cutMs = this.clock.now();
		member.limits.close();
		const moved = this.#callers.filter(({instance}) => instance === index);
		for (const caller of moved) {
			caller.instance = this.#chooseLive();
		}

		this.clock.setTimer(downMs, () => {
			const {neighbours} = member;
			this.#start(index);
			for (const other of neighbours) {
				this.members[index]!.neighbours.add(other);
			}

			// The load balancer sends callers back once the instance is ready.
			this.clock.setTimer(2000, () => {
				for (const caller of moved) {
					caller.instance = index;
				}
			});
		});
	}

	setLimit(customer: string, limit: WorkLimit): void {
		this.limits.set(customer, limit);
		for (const {limits} of this.members) {
			limits.setLimits(this.limits);
		}
	}

	/** Computes the largest part of the bound that the admitted requests of a customer reach in any window that starts after a time. */
	computeWorstWindow(customer: string, fromMs = 0): number {
		const {windowMs, ratio, slack} = this.tolerance;
		const {perSecond, burst} = this.limits.get(customer)!;
		const bound = (((perSecond * windowMs / 1000) + burst) * (1 + ratio)) + slack;
		const admitted = this.requests.filter(request => request.customer === customer && request.isAdmitted && request.atMs >= fromMs);
		let worst = 0;
		let sum = 0;
		let first = 0;
		for (const {atMs, cost} of admitted) {
			sum += cost;
			while (admitted[first]!.atMs <= atMs - windowMs) {
				sum -= admitted[first]!.cost;
				first++;
			}

			worst = Math.max(worst, sum);
		}

		return worst / bound;
	}

	close(): void {
		for (const {limits} of this.members) {
			limits.close();
		}
	}

	#chooseLive(): number {
		let index = this.random.integerBelow(this.members.length);
		while (this.members[index]!.isDown) {
			index = this.random.integerBelow(this.members.length);
		}

		return index;
	}

	#start(index: number): void {
		const peer: Peer = {name: `instance-${index}`, zone: 'z', incarnation: `instance-${index}-${this.#starts++}`};
		const handlers = new Set<PeerMessageHandler<'demand'>>();
		const bus: Pick<PeerBus, 'listPeers' | 'listNeighbours' | 'sendToSample' | 'subscribe'> = {
			listPeers: () => this.members.filter((other, otherIndex) => otherIndex !== index && other && !this.#isGone(index, otherIndex)).map(({peer}) => peer),
			listNeighbours: () => [...this.members[index]!.neighbours].filter(other => this.#hasLink(index, other)).map(other => this.members[other]!.peer),
			sendToSample: (message, isReceiver) => {
				this.#deliver(index, message, isReceiver);
			},
			subscribe(_kind, handler) {
				handlers.add(handler as never); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- only this kind is subscribed to
				return () => {
					handlers.delete(handler as never); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- as above
				};
			},
		};
		const limits = new CustomerLimits({
			clock: this.clock, random: this.random, telemetry: createTelemetry({level: 'silent'}), bus, incarnation: peer.incarnation,
			countInstances: () => this.members.length, tolerance: this.tolerance,
		});
		this.members[index] = {
			peer, limits, handlers, isCut: false, isDown: false, neighbours: new Set(), cutMs: undefined, startedMs: this.clock.now(),
		};
		this.clock.setTimer(0, () => {
			limits.setLimits(this.limits);
		});
	}

	#send(caller: Caller): void {
		const {customer, instance} = caller;
		const cost = drawCost(this.random);
		const isAdmitted = this.members[instance]!.limits.admit(customer, cost) === undefined;
		this.requests.push({
			customer, atMs: this.clock.now(), cost, isAdmitted, isWithin: this.#admitCentrally(customer, cost), isBursting: (this.factors.get(customer) ?? 1) > 1,
		});
	}

	#admitCentrally(customer: string, cost: number): boolean {
		const {perSecond, burst} = this.limits.get(customer)!;
		const bucket = this.#buckets.get(customer) ?? {level: burst, atMs: 0};
		bucket.level = Math.min(burst, bucket.level + ((this.clock.now() - bucket.atMs) * perSecond / 1000));
		bucket.atMs = this.clock.now();
		this.#buckets.set(customer, bucket);
		const isWithin = bucket.level >= cost;
		bucket.level -= isWithin ? cost : 0;
		return isWithin;
	}

	/** Whether the bytes that an instance sends reach another one. */
	#isReachable(from: number, to: number): boolean {
		const [a, b] = [this.members[from]!, this.members[to]!];
		return !a.isCut && !b.isCut && !a.isDown && !b.isDown;
	}

	/** Returns the time at which bytes of another instance last reached an instance; `undefined` if they never did. */
	#getSeenMs(index: number, other: number): number | undefined {
		if (this.#isReachable(index, other)) {
			return this.clock.now();
		}

		const [a, b] = [this.members[index]!, this.members[other]!];
		const cutMs = Math.min(a.cutMs ?? Infinity, b.cutMs ?? Infinity);
		return cutMs >= a.startedMs && cutMs >= b.startedMs ? cutMs : undefined;
	}

	#isGone(index: number, other: number): boolean {
		const seenMs = this.#getSeenMs(index, other);
		return seenMs === undefined || this.clock.now() - seenMs > detectionMs;
	}

	#hasLink(index: number, other: number): boolean {
		const seenMs = this.#getSeenMs(index, other);
		return seenMs !== undefined && this.clock.now() - seenMs <= linkTimeoutMs && this.clock.now() >= this.members[other]!.startedMs + (this.members[other]!.startedMs > 0 ? redialMs : 0);
	}

	#deliver(index: number, message: PeerMessage, isReceiver: ((peer: Peer) => boolean) | undefined): void {
		const bytes = (message.kind === 'demand' ? message.customers?.length ?? 0 : 0) + messageBytes;
		for (const other of this.members[index]!.neighbours) {
			const {peer} = this.members[other]!;
			if (!this.#hasLink(index, other) || (isReceiver && !isReceiver(peer))) {
				continue;
			}

			this.sentBytes += bytes;
			this.sentMessages++;
			if (!this.#isReachable(index, other)) {
				continue;
			}

			this.clock.setTimer(linkDelayMs, () => {
				for (const handler of this.members[other]!.handlers) {
					handler(message as never, this.members[index]!.peer); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the handlers take messages of this kind
				}
			});
		}
	}
}
