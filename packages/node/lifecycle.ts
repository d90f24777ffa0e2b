/**
 * Start and stop of an instance. It becomes ready when its first state is
 * there. Told to stop, it is not ready at once, but serves new requests until
 * the balancer has surely turned away; then it refuses new ones, lets the
 * running ones finish, and hands over what it holds.
 */
import type {Clock} from '#clock';
import type {Telemetry} from '#telemetry';

/** Phases in their order. */
export type Phase = 'starting' | 'serving' | 'turning_away' | 'refusing';

/** Hands leases or soft state over before the process ends. */
export type HandOver = () => Promise<void>;

/** What the lifecycle works with. */
export type LifecycleDeps = Readonly<{
	clock: Clock;
	telemetry: Telemetry;
	/** Requests in progress. */
	countRunning: () => number;
	/** Time in which the balancer has surely turned away, in milliseconds. */
	balancerMs: number;
	/** Longest time for running requests to finish, in milliseconds. */
	drainMs: number;
}>;

const stepMs = 100;
const handOverMs = 5000;

/** The phase of one instance. */
export class Lifecycle {
	readonly #deps: LifecycleDeps;
	readonly #handOvers: HandOver[] = [];
	#phase: Phase = 'starting';
	#drained: Promise<void> | undefined;

	constructor(deps: LifecycleDeps) {
		this.#deps = deps;
	}

	get phase(): Phase {
		return this.#phase;
	}

	/** Whether the balancer should send requests. */
	get isReady(): boolean {
		return this.#phase === 'serving';
	}

	/** Whether a new request is taken. */
	get isTaking(): boolean {
		return this.#phase !== 'refusing';
	}

	/** Whether callers are told to close their connections after the answer. */
	get isTurningAway(): boolean {
		return this.#phase === 'turning_away' || this.#phase === 'refusing';
	}

	/** Adds what runs before the process ends. */
	register(handOver: HandOver): void {
		this.#handOvers.push(handOver);
	}

	/** Ends the start; ignored once a stop has begun. */
	markReady(): void {
		if (this.#phase === 'starting') {
			this.#enter('serving');
		}
	}

	/**
	 * Turns callers away and waits until nothing runs, within the bounds.
	 * Calling it again waits for the same end.
	 */
	async drain(): Promise<void> {
		this.#drained ??= this.#drain();
		return this.#drained;
	}

	async #drain(): Promise<void> {
		const {clock, telemetry, countRunning, balancerMs, drainMs} = this.#deps;
		this.#enter('turning_away');
		await clock.sleep(balancerMs);
		this.#enter('refusing');
		const endMs = clock.now() + drainMs;
		while (countRunning() > 0 && clock.now() < endMs) {
			await clock.sleep(stepMs);
		}

		if (countRunning() > 0) {
			telemetry.count('drain_cut_requests_total', {}, countRunning());
		}

		await Promise.all(this.#handOvers.map(async handOver => this.#runBounded(handOver)));
	}

	async #runBounded(handOver: HandOver): Promise<void> {
		const limit = new AbortController();
		const timeout = this.#deps.clock.sleep(handOverMs, limit.signal);
		const done = handOver().then(() => {
			limit.abort();
		});
		await Promise.race([done, timeout]);
	}

	#enter(phase: Phase): void {
		this.#phase = phase;
		this.#deps.telemetry.log('instance changed phase', {phase, running: this.#deps.countRunning()});
	}
}
