/**
 * What one target states about itself, and when this instance may therefore send
 * it a request: a limit on the requests of all instances, the time for which it
 * wants nothing from this one, that it is about to stop, and how many requests it
 * can refuse without failing. The newest statement holds. Instances tell each
 * other what concerns all of them, as those that send nothing would not hear of a
 * change. A statement holds for the process that made it. A report that names no
 * process may concern an earlier one under the target's name, so it counts for a
 * short time only, beside what is known of the process. Refusals without a
 * statement count as a weaker one: the target is avoided for a while, longer with
 * each refusal in a row.
 */
import type {TargetStatement} from './dialect.ts';
import {LearnedRoom} from './_learned-room.ts';
import {LimitShare, type LimitSharing} from './_limit-share.ts';

/** The part of a statement that concerns all instances. */
type CommonStatement = Omit<TargetStatement, 'malformed' | 'restMs'>;

/** What is known of a target's statement, as instances tell it each other. */
export type SharedStatement = CommonStatement & Readonly<{
	/** Time since the target stated this, in milliseconds. */
	ageMs: number;
}>;

/** The work in progress on a target, which bounds further requests while it is brittle. */
export type TargetOccupancy = Readonly<{
	/** Requests of this instance in progress. */
	inFlight: number;
	/** Requests that the target runs at once. */
	slots: number;
}>;

/** Time for which a change is told to the peers, in milliseconds, and for which an answer of the target counts as new. */
const announceChangeMs = 3000;
const announceHeardMs = 1500;

/** Interval at which an unchanged limit that this instance knows from a peer is passed on, in milliseconds. */
const announceIntervalMs = 10_000;

/** Age at which two reports are taken for the same statement, in milliseconds. */
const sameStatementMs = 5;

/** Time for which a report that names no process counts after the statement was made, in milliseconds; by then, a target that leaves is listed as draining. */
const maxUnnamedReportMs = 3000;

/** Part of a brittle target's slots that is divided among the instances. The rest covers the time in which they disagree on their ranks. */
const dividedSlots = 0.9;

/** Time after which a request may find room on a brittle target, in milliseconds. */
const brittleRetryMs = 100;

/** Maximum rest of a brittle target after a refusal, in milliseconds. */
const maxBrittleRestMs = 5000;

/** Bounds of the time for which a target that refuses requests is avoided, in milliseconds. */
const minAvoidanceMs = 500;
const maxAvoidanceMs = 4000;

const msPerSecond = 1000;

const limitFields = ['perSecond', 'maxRefusals'] as const;
const fields = [...limitFields, 'isLeaving'] as const satisfies ReadonlyArray<keyof CommonStatement>;

export class TargetStatements {
	#stated: CommonStatement = {};
	/** Time at which the target stated that, in milliseconds. */
	#statedMs = Number.NEGATIVE_INFINITY;
	/** Time at which this instance itself last heard it, in milliseconds. */
	#heardMs = Number.NEGATIVE_INFINITY;
	#changedMs = Number.NEGATIVE_INFINITY;
	#announcedMs = Number.NEGATIVE_INFINITY;
	/** Time at which the newest request was sent of those that the target has answered, in milliseconds. */
	#answeredSentMs = Number.NEGATIVE_INFINITY;
	/** Time at which the target last stated that it leaves, in milliseconds, and time for which that holds. */
	#leavingStatedMs = Number.NEGATIVE_INFINITY;
	readonly #maxLeavingMs: number;
	/** What the newest report says that names no process, and the time at which a target stated that, in milliseconds. */
	#reported: CommonStatement = {};
	#reportedMs = Number.NEGATIVE_INFINITY;
	/** Whether such a report has said that the target leaves; it counts once, as peers may repeat it with every later statement. */
	#hasReportedLeaving = false;
	/** Time until which the target wants nothing from this instance, in milliseconds. */
	#restUntilMs = Number.NEGATIVE_INFINITY;
	#avoidUntilMs = Number.NEGATIVE_INFINITY;
	#refusalsInRow = 0;
	readonly #limitShare = new LimitShare();
	readonly #learnedRoom = new LearnedRoom();

	/** @param maxLeavingMs time for which it holds that the target leaves, in milliseconds: for good if all statements are known to come from one process */
	constructor(maxLeavingMs = Infinity) {
		this.#maxLeavingMs = maxLeavingMs;
	}

	/** Requests per second over all instances; `undefined` if the target states no limit. */
	get perSecond(): number | undefined {
		return this.#stated.perSecond;
	}

	/** Whether the target states anything that concerns all instances, as far as known. */
	get isStating(): boolean {
		return hasFields(this.#stated);
	}

	/** Whether the target's process has stated that it is about to stop. */
	get isLeaving(): boolean {
		return this.#stated.isLeaving === true;
	}

	/** Time until which the target counts as about to stop, in milliseconds. */
	get leavingUntilMs(): number {
		return Math.max(
			this.isLeaving ? this.#leavingStatedMs + this.#maxLeavingMs : Number.NEGATIVE_INFINITY,
			this.#reported.isLeaving ? this.#reportedMs + maxUnnamedReportMs : Number.NEGATIVE_INFINITY,
		);
	}

	/**
	 * Records what an answer states.
	 *
	 * @param sentMs time at which the request was sent; an answer to a request that was sent before the latest statement does not end what that states
	 */
	recordAnswer({restMs, malformed: _malformed, ...stated}: TargetStatement, sentMs: number, nowMs: number): void {
		this.#restUntilMs = Math.max(this.#restUntilMs, nowMs + (restMs ?? 0));
		this.#answeredSentMs = Math.max(this.#answeredSentMs, sentMs);
		if (sentMs >= this.#reportedMs) {
			this.#reported = {};
		}

		const isLate = sentMs < this.#statedMs;
		const hasStatement = hasFields(stated);
		if (!hasStatement && (isLate || !hasFields(this.#stated))) {
			return;
		}

		this.#heardMs = nowMs;
		this.#set(isLate ? {...this.#stated, ...getStatedFields(stated)} : stated, nowMs, nowMs);
	}

	/**
	 * Records whether the target has refused a request without running it. While it
	 * is brittle, it then gets a rest from each instance, so that all of them cause
	 * at most half of the refusals that it can stand, and fewer requests at once.
	 *
	 * @param inFlight requests of this instance in progress on the target, with this one
	 */
	recordOutcome(isRefused: boolean, inFlight: number, sharing: () => LimitSharing, nowMs: number): void {
		if (!isRefused) {
			this.clearAvoidance();
			return;
		}

		this.#avoidUntilMs = nowMs + Math.min(maxAvoidanceMs, minAvoidanceMs * (2 ** this.#refusalsInRow));
		this.#refusalsInRow++;
		const {maxRefusals} = this.#getCurrent(nowMs);
		if (maxRefusals !== undefined) {
			this.#learnedRoom.recordRefusal(inFlight, nowMs);
			const restMs = Math.min(maxBrittleRestMs, 2 * msPerSecond * sharing().instances / Math.max(1, maxRefusals));
			this.#restUntilMs = Math.max(this.#restUntilMs, nowMs + restMs);
		}
	}

	/** Ends the effect of earlier refusals that came without a statement. */
	clearAvoidance(): void {
		this.#refusalsInRow = 0;
		this.#avoidUntilMs = Number.NEGATIVE_INFINITY;
	}

	/** Merges what a peer knows of the target's process, if that is newer. That the process leaves holds however old it is. */
	merge({ageMs, ...stated}: SharedStatement, nowMs: number): void {
		const statedMs = nowMs - ageMs;
		if (statedMs >= this.#reportedMs) {
			this.#reported = {};
		}

		if (statedMs > this.#statedMs + sameStatementMs) {
			this.#set(stated, statedMs, nowMs);
		} else if (stated.isLeaving) {
			this.#set({...this.#stated, isLeaving: true}, this.#statedMs, nowMs);
		}
	}

	/**
	 * Merges a report that names no process, if it is newer than all that is known.
	 * What it states counts for a short time, and that the target leaves only once.
	 * What it does not state any more ends, as the target's answers show if it still
	 * holds.
	 */
	mergeUnnamed({ageMs, isLeaving = false, ...limits}: SharedStatement, nowMs: number): void {
		const reportedMs = nowMs - ageMs;
		if (this.leavingUntilMs === Infinity || reportedMs <= Math.max(this.#statedMs, this.#reportedMs, this.#answeredSentMs) + sameStatementMs) {
			return;
		}

		if (this.#getCurrent(nowMs).perSecond === undefined) {
			this.#limitShare.reset();
		}

		const countsAsLeaving = isLeaving && !this.#hasReportedLeaving && ageMs < maxUnnamedReportMs;
		this.#hasReportedLeaving ||= countsAsLeaving;
		this.#reported = getStatedFields({...limits, ...(countsAsLeaving && {isLeaving})});
		this.#reportedMs = reportedMs;
		const ended = limitFields.filter(field => this.#stated[field] !== undefined && this.#reported[field] === undefined);
		if (ended.length > 0) {
			this.#stated = {...this.#stated, ...Object.fromEntries(ended.map(field => [field, undefined]))};
			// The peers are told only what is known of the process.
			this.#changedMs = Number.NEGATIVE_INFINITY;
		}
	}

	/** Returns what the peers should be told now, if anything. */
	announce(nowMs: number): SharedStatement | undefined {
		const hasStatement = hasFields(this.#stated);
		const isNew = nowMs - this.#changedMs < announceChangeMs || (hasStatement && nowMs - this.#heardMs < announceHeardMs);
		const isDue = hasStatement && nowMs - this.#announcedMs >= announceIntervalMs;
		if (!isNew && !isDue) {
			return undefined;
		}

		this.#announcedMs = nowMs;
		return {...getStatedFields(this.#stated), ageMs: Math.max(0, nowMs - this.#statedMs)};
	}

	/** Computes the time until this instance may send a request, in milliseconds; `Infinity` if only others may. */
	computeDelayMs(sharing: () => LimitSharing, occupancy: TargetOccupancy, nowMs: number): number {
		const current = this.#getCurrent(nowMs);
		const {perSecond, maxRefusals} = current;
		const statedMs = current === this.#stated ? this.#statedMs : this.#reportedMs;
		return Math.max(
			0,
			this.#restUntilMs - nowMs,
			perSecond === undefined ? 0 : this.#limitShare.computeDelayMs(perSecond, statedMs, sharing(), nowMs),
			maxRefusals === undefined || (occupancy.inFlight < this.#learnedRoom.get(nowMs) && hasRoom(occupancy, sharing())) ? 0 : brittleRetryMs,
		);
	}

	/** Whether the target has asked this instance for rest. */
	isResting(nowMs: number): boolean {
		return nowMs < this.#restUntilMs;
	}

	/** Computes the time for which other targets are preferred, as this one has refused requests, in milliseconds. */
	computeAvoidanceMs(nowMs: number): number {
		return Math.max(0, this.#avoidUntilMs - nowMs);
	}

	/** Records that a request is sent. */
	recordSent(): void {
		this.#limitShare.recordSent();
	}

	/** Returns what counts now. */
	#getCurrent(nowMs: number): CommonStatement {
		return hasFields(this.#reported) && nowMs < this.#reportedMs + maxUnnamedReportMs ? {...this.#stated, ...this.#reported} : this.#stated;
	}

	#set(stated: CommonStatement, statedMs: number, nowMs: number): void {
		const next: CommonStatement = {...stated, isLeaving: this.isLeaving || stated.isLeaving};
		this.#statedMs = statedMs;
		if (stated.isLeaving) {
			this.#leavingStatedMs = statedMs;
		}

		if (fields.some(field => next[field] !== this.#stated[field])) {
			if (this.#stated.perSecond === undefined) {
				this.#limitShare.reset();
			}

			this.#stated = next;
			this.#changedMs = nowMs;
		}
	}
}

/** Whether this instance may send a brittle target one more request without the risk that it is refused. */
function hasRoom({inFlight, slots}: TargetOccupancy, {instances, rank}: LimitSharing): boolean {
	const divided = Math.max(1, Math.floor(slots * dividedSlots));
	const sharers = Math.min(instances, divided);
	const quota = rank < sharers ? Math.floor(divided / sharers) + (rank < divided % sharers ? 1 : 0) : 0;
	return inFlight < quota;
}

function hasFields(stated: CommonStatement): boolean {
	return fields.some(field => stated[field] !== undefined && stated[field] !== false);
}

/** Returns the fields that are stated. */
function getStatedFields(stated: CommonStatement): CommonStatement {
	return Object.fromEntries(fields.filter(field => stated[field] !== undefined).map(field => [field, stated[field]]));
}
