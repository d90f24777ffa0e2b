/**
 * Limits on the work of customers that hold over all instances. Each instance has
 * a token bucket that fills at its share of the rate: its part of the demand of
 * all instances. While the buckets of the others are known to be full enough, a
 * request is also admitted from an empty one.
 * docs/design/customer-limits.md gives the reasons and the behaviour on failure.
 */
import {CustomerUse} from './_customer-use.ts';
import {
	decodeStatements, DemandTable, deriveShortId, encodeStatements, type ShortId, type Statement,
} from './_demand-table.ts';
import type {Cancel, Clock} from '#clock';
import type {WorkLimit, Random} from '#core';
import type {Peer, PeerBus, PeerMessageOf} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

/** How far the work of a customer may exceed its limit within a window, over all instances. */
export type LimitTolerance = Readonly<{
	windowMs: number;
	/** Part of the limit. */
	ratio: number;
	/** Units beyond that. */
	slack: number;
}>;

/** Dependencies of {@link CustomerLimits}. */
export type CustomerLimitsDependencies = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	bus: Pick<PeerBus, 'listPeers' | 'listNeighbours' | 'sendToSample' | 'subscribe'>;
	/** Identifies the process of this instance, as its peers know it. */
	incarnation: string;
	/** Counts the instances that may serve callers, whether or not they can be reached. */
	countInstances: () => number;
	tolerance: LimitTolerance;
}>;

/** Interval at which the live instances and this instance's statements are reviewed, in milliseconds. */
const reviewIntervalMs = 1000;

/** Times after which statements are passed on, in milliseconds. A debt is urgent, because the others lend on the assumption that there is none. */
const urgentDelayMs = 60;
const regularDelayMs = 1500;

/** Maximum number of statements in one message. */
const maxStatements = 1024;

/** The limits of all customers, as one instance enforces them. */
export class CustomerLimits {
	readonly #dependencies: CustomerLimitsDependencies;
	readonly #table: DemandTable;
	readonly #self: ShortId;
	readonly #uses = new Map<string, CustomerUse>();
	readonly #peerIds = new Map<string, ShortId>();
	/** Statements to pass on, by origin and customer. */
	readonly #pending = new Map<string, Statement>();
	#neighbours: ReadonlySet<string> = new Set();
	/** Neighbours that have stated anything on their present link. */
	readonly #heardPeers = new Set<string>();
	#cancelReview: Cancel | undefined;
	#cancelFlush: Cancel | undefined;
	#flushMs = Infinity;
	/** Whether a neighbour has stated anything, so that the table can be taken to be complete. */
	#hasHeard = false;
	readonly #cancelDemand: Cancel;

	constructor(dependencies: CustomerLimitsDependencies) {
		this.#dependencies = dependencies;
		this.#self = deriveShortId(dependencies.incarnation);
		this.#table = new DemandTable(this.#self);
		this.#cancelDemand = dependencies.bus.subscribe('demand', (message, from) => {
			this.#handleDemand(message, from);
		});
	}

	/** Replaces the limits of all customers, by name. Without any limit, nothing is sent or computed. */
	setLimits(limits: ReadonlyMap<string, WorkLimit>): void {
		const {clock} = this.#dependencies;
		for (const name of this.#uses.keys()) {
			if (!limits.has(name)) {
				this.#uses.delete(name);
			}
		}

		for (const [name, limit] of limits) {
			const use = this.#uses.get(name);
			if (use) {
				use.setLimit(limit);
			} else {
				this.#uses.set(name, new CustomerUse({
					...this.#dependencies, table: this.#table, self: this.#self, computeScale: () => this.#computeScale(), hasHeard: () => this.#hasHeard, isAlone: () => this.#neighbours.size === 0,
				}, name, limit));
			}
		}

		this.#table.retainCustomers(new Set([...this.#uses.values()].map(({id}) => id)));
		if (limits.size === 0) {
			this.#stop();
		} else if (!this.#cancelReview) {
			this.#cancelReview = clock.subscribe(reviewIntervalMs, () => {
				this.#review();
			});
			this.#review();
		}
	}

	/**
	 * Admits a request of a customer, or refuses it because the customer is over its limit.
	 *
	 * @param cost units that the request uses
	 * @returns `undefined` if the request is admitted, else the time after which to retry, in milliseconds
	 */
	admit(customer: string, cost: number): number | undefined {
		const use = this.#uses.get(customer);
		if (!use) {
			return undefined;
		}

		const retryAfterMs = use.admit(cost);
		this.#dependencies.telemetry.count('customer_limit_units_total', {customer, outcome: retryAfterMs === undefined ? 'admitted' : 'refused'}, cost);
		this.#publish(use);
		return retryAfterMs;
	}

	/** Gives back the cost of a request that was admitted and has ended without having run. */
	refund(customer: string, cost: number): void {
		this.#uses.get(customer)?.refund(cost);
		this.#dependencies.telemetry.count('customer_limit_units_total', {customer, outcome: 'refunded'}, cost);
	}

	close(): void {
		this.#stop();
		this.#cancelDemand();
	}

	#stop(): void {
		this.#cancelReview?.();
		this.#cancelReview = undefined;
		this.#cancelFlush?.();
		this.#flushMs = Infinity;
		this.#pending.clear();
		this.#heardPeers.clear();
		this.#neighbours = new Set();
	}

	/** Computes the part of each limit that the counted instances may use: the rest is left to those that are cut off but may still serve callers. */
	#computeScale(): number {
		return Math.min(1, this.#table.countedInstances / Math.max(1, this.#dependencies.countInstances()));
	}

	#review(): void {
		const {bus, clock, telemetry, tolerance} = this.#dependencies;
		this.#table.updateLive(bus.listPeers().map(({incarnation, name}) => ({id: this.#getPeerId(incarnation), name})), clock.now(), tolerance.windowMs);
		for (const use of this.#uses.values()) {
			use.review();
			this.#publish(use);
		}

		this.#welcomeNeighbours(bus.listNeighbours());
		telemetry.set('customer_limit_statements', this.#table.size);
	}

	#getPeerId(incarnation: string): ShortId {
		let id = this.#peerIds.get(incarnation);
		if (id === undefined) {
			id = deriveShortId(incarnation);
			this.#peerIds.set(incarnation, id);
		}

		return id;
	}

	/** Sends everything to the neighbours that are new. */
	#welcomeNeighbours(neighbours: readonly Peer[]): void {
		const known = this.#neighbours;
		this.#neighbours = new Set(neighbours.map(({incarnation}) => incarnation));
		if (neighbours.some(({incarnation}) => !known.has(incarnation))) {
			// An empty message tells a new neighbour that nothing is stated.
			this.#send(this.#table.listAll(), ({incarnation}) => !known.has(incarnation));
		}

		for (const incarnation of this.#heardPeers) {
			if (!this.#neighbours.has(incarnation)) {
				this.#heardPeers.delete(incarnation);
			}
		}

		for (const incarnation of this.#peerIds.keys()) {
			if (this.#peerIds.size > 2 * (this.#table.countedInstances + 1) && !this.#table.isLive(this.#peerIds.get(incarnation)!)) {
				this.#peerIds.delete(incarnation);
			}
		}
	}

	/** Schedules what a customer's use has to state to be sent. */
	#publish(use: CustomerUse): void {
		const statement = use.takeStatement();
		if (statement) {
			this.#schedule(statement);
		}
	}

	#handleDemand({customers}: PeerMessageOf<'demand'>, from: Peer): void {
		if (!customers || !this.#cancelReview) {
			return;
		}

		this.#hasHeard = true;
		if (!this.#heardPeers.has(from.incarnation)) {
			// The peer has got limits only now, and has passed over what was sent to it before.
			this.#heardPeers.add(from.incarnation);
			this.#send(this.#table.listAll(), ({incarnation}) => incarnation === from.incarnation);
		}

		const nowMs = this.#dependencies.clock.now();
		const known = new Set([...this.#uses.values()].map(({id}) => id));
		for (const statement of decodeStatements(customers)) {
			if (!known.has(statement.customer) || statement.origin === this.#self) {
				continue;
			}

			if (this.#table.record(statement, nowMs)) {
				this.#schedule(statement);
			}
		}
	}

	/** Schedules a statement to be passed on to the neighbours. */
	#schedule(statement: Statement): void {
		const {clock} = this.#dependencies;
		this.#pending.set(`${statement.origin} ${statement.customer}`, statement);
		const dueMs = clock.now() + (statement.isUrgent ? urgentDelayMs : regularDelayMs);
		if (dueMs < this.#flushMs) {
			this.#cancelFlush?.();
			this.#flushMs = dueMs;
			this.#cancelFlush = clock.setTimer(dueMs - clock.now(), () => {
				this.#flushMs = Infinity;
				this.#send([...this.#pending.values()]);
				this.#pending.clear();
			});
		}
	}

	#send(statements: readonly Statement[], isReceiver?: (peer: Peer) => boolean): void {
		const {bus, clock} = this.#dependencies;
		for (let index = 0; index === 0 || index < statements.length; index += maxStatements) {
			bus.sendToSample({
				kind: 'demand', sentMs: Math.round(clock.now()), limits: [], customers: encodeStatements(statements.slice(index, index + maxStatements)),
			}, isReceiver);
		}
	}
}
