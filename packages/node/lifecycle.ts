/**
 * Start and graceful shutdown of an instance. The instance becomes ready once
 * its initial state is complete. When a shutdown begins, it reports itself as not
 * ready, but accepts new requests until the load balancer has had time to stop
 * sending them. It then refuses new requests, waits for the running ones, ends
 * those that take too long, and runs the shutdown hooks. The times of a shutdown count from the request for it,
 * as whoever requested it waits from then on before it kills the process.
 */
import type {Clock} from '#clock';
import type {Telemetry} from '#telemetry';

/** Phases in the order in which an instance goes through them. In `turning_away`, it is no longer ready but still accepts requests. In `ending`, it ends the requests that still run. */
export type Phase = 'starting' | 'serving' | 'turning_away' | 'refusing' | 'ending';

/** Hands over leases or soft state before the process ends. */
export type ShutdownHook = () => Promise<void>;

/** Returns whether all requests that callers have sent so far have been read, for one of the instance's servers. */
export type InputCheck = () => Promise<boolean>;

export type LifecycleDependencies = Readonly<{
	clock: Clock;
	telemetry: Telemetry;
	/** Counts the requests in progress: from their head until their answer has been sent. */
	countRunning: () => number;
	/** Maximum time until the load balancer sends no more requests to an instance that is not ready, in milliseconds. */
	balancerMs: number;
	/** Maximum time to wait for running requests, in milliseconds. */
	drainMs: number;
	/** Ends the requests that still run after that: each is refused or answered as far as its outcome is known. Default: they are cut. */
	endRequests?: () => void;
	/** Maximum time that this may take, in milliseconds. Default: 0. */
	endMs?: number;
}>;

/** Options of {@link Lifecycle.drain}. */
export type DrainOptions = Readonly<{
	/** Time on the clock at which the shutdown was requested, in milliseconds; a later time than the call's counts as the call's. Default: the time of the call. */
	requestedMs?: number;
}>;

/** Times on the clock at which the phases of a shutdown end, in milliseconds. */
type ShutdownTimes = Readonly<{
	/** New requests are refused from then on. */
	refusingMs: number;
	/** Until then, new requests are refused even if none runs, as the load balancer may still send some. */
	withdrawnMs: number;
	/** Requests that still run are not waited for any longer. */
	endMs: number;
}>;

/** Minimum time for which new requests are refused before the connections close, in milliseconds, however late the shutdown begins. */
const minRefusingMs = 200;

/** Time between checks of whether requests still run, in milliseconds. */
const pollIntervalMs = 100;

/** Time between checks of whether requests that are being ended still run, in milliseconds. */
const endPollIntervalMs = 10;

/** Delay of a timer above which requests may still wait to be read, as the event loop is behind, in milliseconds; more than the inaccuracy of the system clock's timers. */
const maxLatenessMs = 100;

/** Maximum time that the shutdown waits for one hook, in milliseconds. */
const hookTimeoutMs = 5000;

/** Tracks the phase of one instance. */
export class Lifecycle {
	readonly #dependencies: LifecycleDependencies;
	readonly #shutdownHooks: ShutdownHook[] = [];
	readonly #inputChecks: InputCheck[] = [];
	#phase: Phase = 'starting';
	/** Time from which new requests are refused. */
	#refusingMs = Number.POSITIVE_INFINITY;
	#drainPromise: Promise<void> | undefined;

	constructor(dependencies: LifecycleDependencies) {
		this.#dependencies = dependencies;
	}

	get phase(): Phase {
		return this.#phase;
	}

	/** Whether the load balancer should send requests to this instance. */
	get isReady(): boolean {
		return this.#phase === 'serving';
	}

	/** Whether the instance accepts new requests. The time decides and not the phase, which changes late if the event loop is busy. */
	get isAcceptingRequests(): boolean {
		return this.#dependencies.clock.now() < this.#refusingMs;
	}

	/** Whether answers carry `connection: close`, so that callers open new connections to other instances. */
	get shouldCloseConnections(): boolean {
		return this.#phase !== 'starting' && this.#phase !== 'serving';
	}

	/** Adds a hook that runs at the end of a shutdown, which waits for it at most {@link hookTimeoutMs}. */
	addShutdownHook(hook: ShutdownHook): void {
		this.#shutdownHooks.push(hook);
	}

	/** Adds a check for which a shutdown waits within its time limits, so that requests that wait to be read are refused before their connections close. */
	addInputCheck(check: InputCheck): void {
		this.#inputChecks.push(check);
	}

	/** Makes the instance ready. Has no effect once a shutdown has begun. */
	markReady(): void {
		if (this.#phase === 'starting') {
			this.#enter('serving');
		}
	}

	/**
	 * Shuts down: waits for the load balancer, then for the running requests
	 * within the time limits, then for the hooks. Further calls wait for the
	 * same shutdown.
	 */
	async drain(options: DrainOptions = {}): Promise<void> {
		this.#drainPromise ??= this.#drain(options);
		return this.#drainPromise;
	}

	async #drain({requestedMs}: DrainOptions): Promise<void> {
		const {clock, telemetry, countRunning} = this.#dependencies;
		const {refusingMs, withdrawnMs, endMs} = this.#computeTimes(requestedMs);
		this.#refusingMs = refusingMs;
		this.#enter('turning_away');
		if (clock.now() < refusingMs) {
			await clock.sleep(refusingMs - clock.now());
		}

		this.#enter('refusing');
		let latenessMs = clock.now() - refusingMs;
		while (clock.now() < endMs && (countRunning() > 0 || latenessMs > maxLatenessMs || clock.now() < withdrawnMs || !(await this.#hasReadInput()))) {
			const dueMs = Math.min(clock.now() + pollIntervalMs, endMs);
			await clock.sleep(dueMs - clock.now());
			latenessMs = clock.now() - dueMs;
		}

		if (countRunning() > 0) {
			telemetry.count('drain_cut_requests_total', {}, countRunning());
			await this.#endRequests();
		}

		await Promise.all(this.#shutdownHooks.map(async hook => this.#runHook(hook)));
	}

	/** Ends the requests that still run, and waits until their callers have been told so. */
	async #endRequests(): Promise<void> {
		const {clock, countRunning, endRequests, endMs = 0} = this.#dependencies;
		if (!endRequests) {
			return;
		}

		this.#enter('ending');
		endRequests();
		const untilMs = clock.now() + endMs;
		while (countRunning() > 0 && clock.now() < untilMs) {
			await clock.sleep(endPollIntervalMs);
		}
	}

	async #hasReadInput(): Promise<boolean> {
		const results = await Promise.all(this.#inputChecks.map(async check => check()));
		return results.every(Boolean);
	}

	/** Computes the times of a shutdown that begins now. */
	#computeTimes(requestedMs = Infinity): ShutdownTimes {
		const {clock, balancerMs, drainMs} = this.#dependencies;
		const nowMs = clock.now();
		const refusingMs = Math.min(requestedMs, nowMs) + balancerMs;
		return {refusingMs, withdrawnMs: nowMs + balancerMs, endMs: Math.max(refusingMs + drainMs, nowMs + minRefusingMs)};
	}

	async #runHook(hook: ShutdownHook): Promise<void> {
		const timeoutCancellation = new AbortController();
		const timeout = this.#dependencies.clock.sleep(hookTimeoutMs, timeoutCancellation.signal);
		const done = hook().then(() => {
			timeoutCancellation.abort();
		});
		await Promise.race([done, timeout]);
	}

	#enter(phase: Phase): void {
		this.#phase = phase;
		this.#dependencies.telemetry.log('instance changed phase', {phase, running: this.#dependencies.countRunning()});
	}
}
