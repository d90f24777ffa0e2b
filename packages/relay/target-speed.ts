/**
 * The present speed of one target. Its lasting speed is the time that work takes
 * there outside of slow spells, from this instance's measurements and those of
 * peers; requests of other instances can only lengthen a measurement, so shorter
 * ones count for more. A factor states how much longer work takes now than normally, as the
 * target states with its load. A single figure tells of a spell only for a short
 * time; the median of figures that are further apart than a spell lasts tells the
 * lasting factor. A target that states no figure has the factor 1, and its speed
 * is a moving average of this instance's measurements alone.
 */

/**
 * What peers tell each other of a target's speed, in a compact form: how long work
 * takes as the target stated last, in hundredths of the normal time, the age of
 * that figure in milliseconds, and the sender's own measurements without that
 * factor: nanoseconds per prompt token and microseconds per request of a plain
 * service; 0 or absent if there are none.
 */
export type SpeedReport = readonly number[];

/** Present speed of a target. */
export type PresentSpeed = Readonly<{
	/** Time per prompt token at the lasting speed, in milliseconds. */
	msPerToken: number;
	/** Time of a request to a plain service at the lasting speed, in milliseconds. */
	serviceMs: number;
	/** Time that work takes now, as a multiple of the time at the lasting speed. */
	factor: number;
	/** Age of the figure behind the factor, in milliseconds; `Infinity` if the target has stated none. */
	factorAgeMs: number;
	/** Age of the latest measurement by this instance or a peer, in milliseconds. */
	measuredAgeMs: number;
}>;

/** Weight of the newest measurement in a moving average. */
const smoothingFactor = 0.2;

/** Weights of a measurement that is shorter or longer than the average, for a target that states figures: other instances' requests, which this one does not know, only lengthen it. */
const fallFactor = 0.3;
const riseFactor = 0.03;

/** Maximum ratio of a measurement to the average that counts: a longer one was most likely queued. */
const maxRise = 2;

/** Time per prompt token of an engine that has not been measured yet, in milliseconds: that of a small engine. */
const initialMsPerToken = 0.02;

/** Bounds of the measured time per prompt token, in milliseconds. */
const minMsPerToken = 0.002;
const maxMsPerToken = 0.5;

/** Fixed cost of a request, expressed in prompt tokens; a measurement adds them to the tokens of the prompt. */
const overheadTokens = 500;

/** Service time of a plain service that has not been measured yet, in milliseconds. */
const initialServiceMs = 50;

/** The figure of a target that works at its normal speed. */
const normalPercent = 100;

/** Bounds of the factor that counts; a figure beyond them may be an error of the target. */
const minFactor = 0.1;
const maxFactor = 20;

/** Mean time for which a slow spell goes on after a figure was stated in it, in milliseconds: half of a spell of 0.6 s. */
const spellRestMs = 300;

/** Minimum time between two figures that count toward the lasting factor, in milliseconds: that of a spell, so that a spell counts once. */
const figureIntervalMs = 600;

/** Number of figures of which the lasting factor is the median. */
const maxFigures = 9;

/** Age beyond which measurements give way to newer ones of peers, or the other way around, in milliseconds. */
const maxMeasurementAgeMs = 30_000;

/** Time for which peers are told the speed after an answer of the target, in milliseconds; work is reported each second in large fleets. */
const announceMs = 1500;

const nsPerMs = 1_000_000;
const usPerMs = 1000;

/** A moving average of measurements. */
class Average {
	ms: number;
	measuredMs = Number.NEGATIVE_INFINITY;

	constructor(initialMs: number) {
		this.ms = initialMs;
	}

	get isMeasured(): boolean {
		return this.measuredMs > Number.NEGATIVE_INFINITY;
	}

	record(ms: number, weight: number, measuredMs: number): void {
		this.ms += (ms - this.ms) * weight;
		this.measuredMs = Math.max(this.measuredMs, measuredMs);
	}

	/** Records a measurement that requests of other instances may have lengthened, so that shorter ones count for more. */
	recordContended(ms: number, measuredMs: number): void {
		const weight = ms < this.ms ? fallFactor : riseFactor;
		this.record(Math.min(ms, this.ms * maxRise), this.isMeasured ? weight : 1, measuredMs);
	}
}

/** Measurements of one kind of time, by this instance and by peers. */
class LastingTime {
	readonly #own: Average;
	readonly #peers: Average;

	constructor(initialMs: number) {
		this.#own = new Average(initialMs);
		this.#peers = new Average(initialMs);
	}

	get isMeasured(): boolean {
		return this.#own.isMeasured || this.#peers.isMeasured;
	}

	get measuredMs(): number {
		return Math.max(this.#own.measuredMs, this.#peers.measuredMs);
	}

	/** @param isPlain whether the target states no figure, so that the measurement contains the effect of slow spells */
	record(ms: number, isPlain: boolean, nowMs: number): void {
		if (isPlain) {
			this.#own.record(ms, smoothingFactor, nowMs);
		} else {
			this.#own.recordContended(ms, nowMs);
		}
	}

	recordPeer(ms: number, measuredMs: number): void {
		this.#peers.recordContended(ms, measuredMs);
	}

	/** Returns the time that this instance has measured itself, in milliseconds; 0 if there is none. */
	getOwn(): number {
		return this.#own.isMeasured ? this.#own.ms : 0;
	}

	/** Returns the shorter of the times by this instance and by peers, or the only one that is not old. */
	get(nowMs: number): number {
		const own = this.#own;
		const peers = this.#peers;
		if (!peers.isMeasured || peers.measuredMs < nowMs - maxMeasurementAgeMs) {
			return own.ms;
		}

		return !own.isMeasured || own.measuredMs < nowMs - maxMeasurementAgeMs ? peers.ms : Math.min(own.ms, peers.ms);
	}
}

export class TargetSpeed {
	readonly #tokenTime = new LastingTime(initialMsPerToken);
	readonly #serviceTime = new LastingTime(initialServiceMs);
	/** Factor by the newest figure, and the time at which the target stated it, in milliseconds. */
	#factor = 1;
	#statedMs = Number.NEGATIVE_INFINITY;
	/** Latest factors that are at least {@link figureIntervalMs} apart, the oldest first, and their median. */
	readonly #factors: number[] = [];
	#lastingFactor = 1;
	#keptMs = Number.NEGATIVE_INFINITY;
	/** Time at which the target last stated a figure to this instance, in milliseconds. */
	#heardMs = Number.NEGATIVE_INFINITY;

	/** Whether the target states how long work takes now. */
	get isStated(): boolean {
		return this.#statedMs > Number.NEGATIVE_INFINITY;
	}

	/** Whether a time of the given kind has been measured, by this instance or a peer. */
	isMeasured(kind: 'token' | 'service'): boolean {
		return kind === 'token' ? this.#tokenTime.isMeasured : this.#serviceTime.isMeasured;
	}

	/** Records a figure that the target states in an answer to this instance. */
	recordFigure(percent: number, nowMs: number): void {
		this.#heardMs = nowMs;
		this.#setFigure(percent, nowMs);
	}

	/** Records the time until the answer to a prompt started, with the number of tokens that had to be read before that. */
	recordAnswerStart(tokens: number, ms: number, nowMs: number): void {
		const measured = ms / (tokens + overheadTokens) / this.#computePastFactor(ms, nowMs);
		this.#tokenTime.record(Math.min(maxMsPerToken, Math.max(minMsPerToken, measured)), !this.isStated, nowMs);
	}

	/** Records the time that an attempt on a plain service took, unless its request was not run. */
	recordServiceTime(ms: number, nowMs: number): void {
		this.#serviceTime.record(ms / this.#computePastFactor(ms, nowMs), !this.isStated, nowMs);
	}

	/** Merges what a peer knows. Only a target that states figures is judged by the measurements of peers. */
	merge([percent = 0, ageMs = 0, tokenNs = 0, serviceUs = 0]: SpeedReport, nowMs: number): void {
		if (percent <= 0) {
			return;
		}

		this.#setFigure(percent, nowMs - ageMs);
		if (tokenNs > 0) {
			this.#tokenTime.recordPeer(Math.min(maxMsPerToken, Math.max(minMsPerToken, tokenNs / nsPerMs)), nowMs - ageMs);
		}

		if (serviceUs > 0) {
			this.#serviceTime.recordPeer(serviceUs / usPerMs, nowMs - ageMs);
		}
	}

	/** Returns what the peers should be told; `undefined` unless this instance has heard a figure itself within the last time. */
	announce(nowMs: number): SpeedReport | undefined {
		if (nowMs - this.#heardMs > announceMs) {
			return undefined;
		}

		return [
			Math.round(this.#factor * normalPercent),
			Math.max(0, Math.round(nowMs - this.#statedMs)),
			Math.round(this.#tokenTime.getOwn() * nsPerMs),
			Math.round(this.#serviceTime.getOwn() * usPerMs),
		];
	}

	/** Returns the time per prompt token at the lasting speed, in milliseconds; `unmeasuredMs` if the target has not been measured. */
	getMsPerToken(nowMs: number, unmeasuredMs?: number): number {
		return unmeasuredMs === undefined || this.#tokenTime.isMeasured ? this.#tokenTime.get(nowMs) * this.#lastingFactor : unmeasuredMs;
	}

	/** Returns the time of a request to a plain service at the lasting speed, in milliseconds; `unmeasuredMs` if the target has not been measured. */
	getServiceMs(nowMs: number, unmeasuredMs?: number): number {
		return unmeasuredMs === undefined || this.#serviceTime.isMeasured ? this.#serviceTime.get(nowMs) * this.#lastingFactor : unmeasuredMs;
	}

	get(nowMs: number): PresentSpeed {
		return {
			msPerToken: this.getMsPerToken(nowMs), serviceMs: this.getServiceMs(nowMs),
			factor: 1 + this.#computeSpell(nowMs), factorAgeMs: nowMs - this.#statedMs,
			measuredAgeMs: nowMs - Math.max(this.#tokenTime.measuredMs, this.#serviceTime.measuredMs),
		};
	}

	/** Computes the time that work takes from now on which takes `lastingMs` at the lasting speed, in milliseconds: a slow spell ends in the meantime. */
	computeMs(lastingMs: number, nowMs: number): number {
		const spell = this.#computeSpell(nowMs);
		if (spell === 0 || lastingMs <= 0) {
			return lastingMs;
		}

		const durationMs = lastingMs * (1 + Math.max(0, spell));
		return lastingMs * (1 + (spell * computeMeanRest(durationMs)));
	}

	/** Returns how much longer work takes now than at the lasting speed, as a part of the latter; negative if it takes less. */
	#computeSpell(nowMs: number): number {
		return this.isStated ? ((this.#factor / this.#lastingFactor) - 1) * Math.exp(-Math.max(0, nowMs - this.#statedMs) / spellRestMs) : 0;
	}

	/** Returns the mean factor over the last `durationMs` milliseconds. */
	#computePastFactor(durationMs: number, nowMs: number): number {
		return this.#lastingFactor * (1 + (this.#computeSpell(nowMs) * computeMeanRest(durationMs)));
	}

	#setFigure(percent: number, statedMs: number): void {
		if (percent <= 0 || statedMs <= this.#statedMs) {
			return;
		}

		this.#factor = Math.min(maxFactor, Math.max(minFactor, percent / normalPercent));
		this.#statedMs = statedMs;
		if (statedMs - this.#keptMs < figureIntervalMs) {
			return;
		}

		this.#keptMs = statedMs;
		this.#factors.push(this.#factor);
		if (this.#factors.length > maxFigures) {
			this.#factors.shift();
		}

		// Until there are three figures, the normal speed counts as one: the first figure may come from a spell.
		const sorted = (this.#factors.length < 3 ? [...this.#factors, 1] : this.#factors).toSorted((a, b) => a - b);
		const middle = sorted.length / 2;
		this.#lastingFactor = (sorted[Math.ceil(middle) - 1]! + sorted[Math.floor(middle)]!) / 2;
	}
}

/** Computes the mean, over a duration, of what remains of a spell that ends at a constant rate. */
function computeMeanRest(durationMs: number): number {
	return durationMs < 1 ? 1 : spellRestMs / durationMs * (1 - Math.exp(-durationMs / spellRestMs));
}
