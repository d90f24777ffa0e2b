/** What one instance uses of one customer's limit: its share, its bucket, and what it states to the others. */
import type {CustomerLimitsDependencies} from './customer-limits.ts';
import {DemandRate} from './_demand-rate.ts';
import {
	computeNextSequence, deriveShortId, roundToSent, type DemandTable, type ShortId, type Statement,
} from './_demand-table.ts';
import {LimitBucket} from './_limit-bucket.ts';
import {SurgeDetector} from './_surge-detector.ts';
import type {WorkLimit} from '#core';

/** Dependencies of {@link CustomerUse}. */
export type CustomerUseDependencies = Pick<CustomerLimitsDependencies, 'clock' | 'random' | 'telemetry' | 'countInstances' | 'tolerance'> & Readonly<{
	table: DemandTable;
	/** Short id of this instance. */
	self: ShortId;
	/** Computes the part of the limit that the known instances may use. */
	computeScale: () => number;
	/** Whether a neighbour has told this instance what the others state. */
	hasHeard: () => boolean;
	/** Whether this instance has no neighbour. */
	isAlone: () => boolean;
}>;

/** Fraction of the tolerance that buckets hold beyond the burst. The rest is for what is used before a debt is known everywhere. */
const depthRatio = 0.1;

/** Maximum time at the full rate that this may be, in seconds. */
const maxDepthS = 1;

/** Fraction of the tolerance that one request may cost beyond the level of its bucket. */
const overdraftRatio = 1 / 3;

/** Fraction of the tolerance that the debts of all instances together may reach by such requests. */
const totalDebtRatio = 0.5;

/** Fraction of it that they may reach by other requests of a customer that does not send more than usual. */
const calmDebtRatio = 0.3;

/** Level that the bucket of an instance without a debt is taken to have, as a part of its depth. */
const assumedLevelRatio = 0.7;

/** The same for an instance without neighbours, which does not learn of debts. */
const aloneLevelRatio = 0.08;

/** Minimum part that such an instance has of what all may owe. */
const minAloneShare = 0.125;

/** Time for which a surge at any instance counts, in milliseconds. */
const surgeMs = 2000;

/** Fraction of the tolerance that the debts of all instances together may reach before they are stated. */
const statedDebtRatio = 0.35;

/** Fraction of the tolerance beyond which the debts of all instances together make each further one urgent. */
const urgentDebtRatio = 0.25;

/** Minimum part of that for one instance, so that one with a small share does not state each request. */
const minStatedDebtShare = 1 / 16;

/** Minimum time between urgent statements about a customer, in milliseconds. */
const minStatementIntervalMs = 100;

/** Minimum time between such statements that only state another demand, in milliseconds. */
const minChangeIntervalMs = 500;

/** Relative change of the demand that is stated, and the minimum change as a part of the rate. */
const statedDemandChange = 0.5;
const minStatedChange = 0.02;

/** Demand as a part of the rate that counts as none. */
const negligibleDemand = 0.0005;

/** Mean time after which a statement is repeated, in milliseconds, in case a message was lost. */
const repeatMs = 120_000;

/** Fraction of the rate up to which instances in debt use what the demand of all leaves unused. The rest is a reserve for a demand that rises before it is stated. */
const spareRatio = 0.9;

/** Fraction of the depth of all buckets up to which debts are paid from that: greater ones show that the limit is reached. */
const maxSpareDebt = 2;

/** Times after which a regular and an urgent statement is known everywhere, in milliseconds: three hops. */
const spreadMs = 4000;
const urgentSpreadMs = 300;

/** Level of the bucket at the start, as a part of its depth: other buckets were full while this instance was not there. */
const startLevelRatio = 0.25;

/** Minimum and maximum time after which a refused caller should retry, in milliseconds. */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 4000;

const msPerSecond = 1000;

const sequenceBound = 65_536;

/** What may have changed since the last statement. */
type Change = Readonly<{nowMs: number; level: number; step: number; demand: number; hasChanged: boolean; stated: Statement}>;

export class CustomerUse {
	/** Short id of the customer. */
	readonly id: ShortId;
	readonly #dependencies: CustomerUseDependencies;
	readonly #name: string;
	readonly #rate = new DemandRate();
	readonly #surge = new SurgeDetector();
	readonly #bucket: LimitBucket;
	#limit: WorkLimit;
	#share = 0;
	/** This instance's latest statement. */
	#stated: Statement | undefined;
	#statedMs = Number.NEGATIVE_INFINITY;
	#repeatMs = 0;
	/** Demands that were stated and may not be known everywhere yet. */
	readonly #risesMs: Array<Readonly<{demand: number; knownMs: number}>> = [];
	/** Latest stated demand that is known everywhere, or a smaller one. */
	#knownDemand = 0;
	/** Time until which refused requests have been told to wait. */
	#promisedMs = 0;
	/** Whether an instance with demand is gone and may still serve callers, unheard. */
	#hasGone = false;

	constructor(dependencies: CustomerUseDependencies, name: string, limit: WorkLimit) {
		this.#dependencies = dependencies;
		this.#name = name;
		this.#limit = limit;
		this.id = deriveShortId(name);
		const nowMs = dependencies.clock.now();
		this.#share = this.#computeShare().share;
		this.#bucket = new LimitBucket(this.#computeDepth() * this.#share * startLevelRatio, nowMs);
	}

	setLimit(limit: WorkLimit): void {
		this.#refill();
		this.#limit = limit;
	}

	/** Admits a request, or returns the time after which to retry, in milliseconds. */
	admit(cost: number): number | undefined {
		const nowMs = this.#dependencies.clock.now();
		this.#rate.record(cost, nowMs);
		this.#surge.record(nowMs);
		const level = this.#refill();
		const tolerance = this.#computeTolerance();
		const spare = tolerance > 0 ? this.#estimateTotalLevel(level) - cost : Number.NEGATIVE_INFINITY;
		// An instance without neighbours does not learn of the debts of others, and keeps to its part of what all may owe.
		const allowance = tolerance * (this.#dependencies.isAlone() ? Math.max(this.#share, minAloneShare) : 1);
		const canOverdraw = level > 0 && level + (tolerance * overdraftRatio) >= cost && spare >= -allowance * totalDebtRatio;
		if (level >= cost || canOverdraw || (!this.#surge.isSurging(nowMs) && spare >= (this.#hasGone || this.#hasSurge(nowMs) ? 0 : -allowance * calmDebtRatio))) {
			this.#bucket.take(cost);
			return undefined;
		}

		return this.#computeRetryAfterMs(cost, level, nowMs);
	}

	refund(cost: number): void {
		this.#bucket.refund(cost);
	}

	/** Updates the share and the gauges. */
	review(): void {
		const {clock, telemetry} = this.#dependencies;
		if (this.#surge.hasStopped(clock.now())) {
			this.#surge.reset();
			this.#rate.reset();
		}

		const level = this.#refill();
		telemetry.set('customer_limit_share', this.#share, {customer: this.#name});
		telemetry.set('customer_limit_level', level, {customer: this.#name});
	}

	/** Returns a new statement if the demand or the debt has changed enough since the last one. */
	takeStatement(): Statement | undefined {
		const {clock, table, self, random} = this.#dependencies;
		const nowMs = clock.now();
		const level = this.#refill();
		const demand = this.#computeDemand(nowMs);
		const stated = this.#stated ?? {
			origin: self, customer: this.id, sequence: random.integerBelow(sequenceBound), demand: 0, level: 0, isUrgent: false,
		};
		const step = this.#computeTolerance() * statedDebtRatio * Math.max(this.#share, minStatedDebtShare);
		const hasChanged = this.#hasDemandChanged(demand, stated.demand);
		const urgency = this.#classifyChange({
			nowMs, level, step, demand, hasChanged, stated,
		});
		if (urgency === 'none') {
			return undefined;
		}

		const isUrgent = urgency === 'urgent';
		const statement: Statement = {
			...stated, sequence: computeNextSequence(stated.sequence), demand: hasChanged ? roundToSent(demand) : stated.demand, level: level < -step ? roundToSent(level) : 0, isUrgent,
		};
		this.#stated = statement;
		this.#statedMs = nowMs;
		this.#repeatMs = nowMs + (repeatMs * (0.5 + random.next()));
		this.#recordRise(statement, nowMs);
		table.record(statement, nowMs);
		return statement;
	}

	#hasDemandChanged(demand: number, stated: number): boolean {
		return (stated === 0) !== (demand === 0) || Math.abs(demand - stated) > Math.max(stated * statedDemandChange, this.#limit.perSecond * minStatedChange);
	}

	/** Classifies the change since the last statement by how soon the others must know it. */
	#classifyChange({nowMs, level, step, demand, hasChanged, stated}: Change): 'none' | 'regular' | 'urgent' {
		const ageMs = nowMs - this.#statedMs;
		const isDeeper = level < stated.level - step;
		const hasBegun = stated.demand === 0 && demand > 0;
		const isSurging = this.#surge.isSurging(nowMs);
		const isOverdrawn = isDeeper && this.#estimateTotalLevel(level) < -this.#computeTolerance() * urgentDebtRatio;
		const isUrgentDebt = isDeeper && (isSurging || isOverdrawn) && ageMs >= minStatementIntervalMs;
		const isUrgentDemand = hasChanged && isSurging && ageMs >= minChangeIntervalMs;
		if (hasBegun || isUrgentDebt || isUrgentDemand) {
			return 'urgent';
		}

		const hasRecovered = stated.level < 0 && level > stated.level + step;
		const isDue = this.#stated !== undefined && demand > 0 && nowMs >= this.#repeatMs;
		return ageMs >= msPerSecond && (hasRecovered || isDeeper || hasChanged || isDue) ? 'regular' : 'none';
	}

	/** Records when a stated demand is known everywhere. */
	#recordRise({demand, isUrgent}: Statement, nowMs: number): void {
		const knownMs = nowMs + (isUrgent && !this.#dependencies.isAlone() ? urgentSpreadMs : spreadMs);
		while (this.#risesMs.length > 0 && this.#risesMs.at(-1)!.knownMs >= knownMs) {
			this.#risesMs.pop();
		}

		this.#risesMs.push({demand, knownMs});
	}

	#computeDemand(nowMs: number): number {
		const demand = this.#rate.compute(nowMs);
		return demand < this.#limit.perSecond * negligibleDemand ? 0 : demand;
	}

	/** Whether the customer sends far more than usual here, or did lately elsewhere. */
	#hasSurge(nowMs: number): boolean {
		return this.#surge.isSurging(nowMs) || nowMs - this.#dependencies.table.getSurgeMs(this.id) < surgeMs;
	}

	/** Fills the bucket at the present share; returns its level. */
	#refill(): number {
		const nowMs = this.#dependencies.clock.now();
		const {share, spare} = this.#computeShare();
		this.#share = share;
		this.#bucket.repay(this.#hasSurge(nowMs) ? 0 : spare, nowMs);
		return this.#bucket.refill(this.#limit.perSecond * share, this.#computeDepth() * share, nowMs);
	}

	/** Computes this instance's part of the demand that all instances have stated, and its part of the rate that their demand leaves unused, in units per second. */
	#computeShare(): Readonly<{share: number; spare: number}> {
		const {
			table, self, hasHeard, isAlone, countInstances, computeScale,
		} = this.#dependencies;
		if (!hasHeard()) {
			return {share: 1 / Math.max(1, countInstances()), spare: 0};
		}

		let total = 0;
		let own = 0;
		let debtors = 1;
		let debt = 0;
		let hasGone = false;
		for (const {origin, demand, level} of table.list(this.id)) {
			debt -= level;
			if (origin === self) {
				own = this.#computeEffectiveDemand(demand);
				total += own;
				continue;
			}

			total += demand;
			debtors += level < 0 ? 1 : 0;
			hasGone ||= demand > 0 && !table.isLive(origin);
		}

		this.#hasGone = hasGone;
		if (total === 0) {
			return {share: 1 / Math.max(1, countInstances()), spare: 0};
		}

		const scale = computeScale();
		const {perSecond} = this.#limit;
		const spare = this.#computeTolerance() > 0 && !isAlone() && debt < this.#computeDepth() * maxSpareDebt ? Math.max(0, (perSecond * scale * spareRatio) - total) / debtors : 0;
		return {share: own / total * scale, spare};
	}

	/** Returns the demand by which this instance computes its share. A rise counts once the others know it, so that the shares do not add up to more than 1 in between. */
	#computeEffectiveDemand(stated: number): number {
		const nowMs = this.#dependencies.clock.now();
		while (this.#risesMs.length > 0 && this.#risesMs[0]!.knownMs <= nowMs) {
			this.#knownDemand = this.#risesMs.shift()!.demand;
		}

		this.#knownDemand = Math.min(this.#knownDemand, stated);
		return this.#knownDemand;
	}

	/** Computes the units by which the limit may be exceeded within a window. */
	#computeTolerance(): number {
		const {windowMs, ratio, slack} = this.#dependencies.tolerance;
		const {perSecond, burst} = this.#limit;
		return (((perSecond * windowMs / msPerSecond) + burst) * ratio) + slack;
	}

	/** Computes the depth of the buckets of all instances together. */
	#computeDepth(): number {
		const {perSecond, burst} = this.#limit;
		return burst + Math.min(this.#computeTolerance() * depthRatio, perSecond * maxDepthS);
	}

	/** Estimates the sum of the levels of all live instances. */
	#estimateTotalLevel(ownLevel: number): number {
		const {table, self} = this.#dependencies;
		const depth = this.#computeDepth();
		const levelRatio = this.#dependencies.isAlone() ? aloneLevelRatio : assumedLevelRatio;
		let total = 0;
		let level = 0;
		const statements = [...table.list(this.id)];
		for (const {demand} of statements) {
			total += demand;
		}

		for (const statement of statements) {
			if (statement.origin !== self && table.isLive(statement.origin) && total > 0) {
				level += statement.level < 0 ? statement.level : depth * levelRatio * statement.demand / total;
			}
		}

		return ownLevel + level;
	}

	/** Computes the time after which the bucket admits a request behind those that were refused before, with a random part that spreads callers out. */
	#computeRetryAfterMs(cost: number, level: number, nowMs: number): number {
		const perMs = Math.max(this.#limit.perSecond * this.#share, this.#limit.perSecond * negligibleDemand) / msPerSecond;
		const readyMs = nowMs + (Math.max(0, -level) / perMs);
		this.#promisedMs = Math.min(nowMs + maxRetryAfterMs, Math.max(readyMs, this.#promisedMs + (cost / perMs)));
		const delayMs = Math.max(minRetryAfterMs, this.#promisedMs - nowMs);
		return Math.ceil(delayMs * (1 - (this.#dependencies.random.next() / 2)));
	}
}
