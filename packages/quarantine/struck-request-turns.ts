/**
 * Mutual exclusion of struck requests over all instances. A struck request is
 * one with a strike, that is, one that was in flight on a target when the target
 * crashed. At most one struck request runs on a target, and a struck request
 * runs on at most one target. An instance broadcasts its turn, waits for the
 * time within which every peer receives the message, and runs the request if no
 * earlier turn conflicts with its own. This is the algorithm of Ricart and
 * Agrawala (1981) with a time bound in place of replies, so that a dead peer
 * blocks nobody. During a network partition the rule holds within each
 * partition only.
 */
import type {Cancel, Clock} from '#clock';
import type {Random} from '#core';
import type {PeerBus, PeerMessageOf} from '#peer-protocol';

/** Dependencies of {@link StruckRequestTurns}. */
export type TurnDependencies = Readonly<{clock: Clock; random: Random; bus: PeerBus}>;

/** Options of {@link StruckRequestTurns}. */
export type TurnOptions = Readonly<{
	/** Time within which every peer receives a broadcast turn, in milliseconds. Default: 30. */
	propagationMs?: number;
	/** Time after which a turn that is not renewed expires, in milliseconds. Default: 6000. */
	expiryMs?: number;
}>;

/** Permission to run a struck request at the chosen placement. */
export type Turn<Placement> = Readonly<{placement: Placement; release: () => void}>;

/** A request for a turn. */
export type TurnRequest<Placement> = Readonly<{
	fingerprint: string;
	/** Chooses where to run. Must not choose a target in `busy`, which already runs a struck request. */
	choose: (busy: ReadonlySet<string>) => Placement | undefined;
	/** Returns the name of the target of a placement. */
	getTargetName: (placement: Placement) => string;
}>;

/** A turn that an instance holds or waits for. */
type KnownTurn = Readonly<{
	id: string;
	fingerprint: string;
	target: string;
	/** Lamport timestamp: the earlier of two conflicting turns runs. */
	order: number;
	/** `Infinity` for a turn of this instance, which ends by its release. */
	expiresMs: number;
}>;

const maxKnownTurns = 4096;

/** Maximum time between two attempts of a waiting request to get a turn, in milliseconds. */
const recheckIntervalMs = 250;

/** The turns of all instances, as far as this one knows them. */
export class StruckRequestTurns {
	readonly #dependencies: TurnDependencies;
	readonly #propagationMs: number;
	readonly #expiryMs: number;
	readonly #turns = new Map<string, KnownTurn>();
	readonly #waiters = new Set<() => void>();
	readonly #cancelSubscription: Cancel;
	#lastOrder = 0;

	constructor(dependencies: TurnDependencies, options: TurnOptions = {}) {
		this.#dependencies = dependencies;
		this.#propagationMs = options.propagationMs ?? 30;
		this.#expiryMs = options.expiryMs ?? 6000;
		this.#cancelSubscription = dependencies.bus.subscribe('turn', message => {
			this.#handleTurnMessage(message);
		});
	}

	/**
	 * Waits for a turn.
	 *
	 * @returns `undefined` if no target can be chosen even among the busy ones, or `signal` has aborted
	 */
	async acquire<Placement>({fingerprint, choose, getTargetName}: TurnRequest<Placement>, signal: AbortSignal): Promise<Turn<Placement> | undefined> {
		while (!signal.aborted) {
			const others = this.#listLiveTurns();
			const busy = new Set(others.map(other => other.target));
			const placement = choose(busy);
			if (!placement && !choose(new Set())) {
				return undefined;
			}

			const isRunningElsewhere = others.some(other => other.fingerprint === fingerprint);
			const turn = placement && !isRunningElsewhere ? await this.#tryAcquire(fingerprint, placement, getTargetName(placement), signal) : undefined;
			if (turn) {
				return turn;
			}

			await this.#waitForChange(signal);
		}

		return undefined;
	}

	/** Stops receiving the turns of peers. */
	close(): void {
		this.#cancelSubscription();
	}

	async #tryAcquire<Placement>(fingerprint: string, placement: Placement, target: string, signal: AbortSignal): Promise<Turn<Placement> | undefined> {
		const {clock, random, bus} = this.#dependencies;
		this.#lastOrder++;
		const id = random.createId();
		const own = {
			id, fingerprint, target, order: this.#lastOrder, expiresMs: Infinity,
		};
		this.#turns.set(id, own);
		this.#broadcast(own, true);
		const cancelRenewal = clock.subscribe(this.#expiryMs / 3, () => {
			this.#broadcast(own, true);
		});
		const release = () => {
			cancelRenewal();
			if (this.#turns.delete(id)) {
				this.#broadcast(own, false);
				this.#wakeWaiters();
			}
		};

		if (bus.listPeers().length > 0) {
			await clock.sleep(this.#propagationMs, signal);
		}

		if (!signal.aborted && this.#isFirst(own)) {
			return {placement, release};
		}

		release();
		return undefined;
	}

	#isFirst(own: KnownTurn): boolean {
		return this.#listLiveTurns().every(other => other.id === own.id || !isConflict(own, other) || isBefore(own, other));
	}

	#listLiveTurns(): readonly KnownTurn[] {
		const now = this.#dependencies.clock.now();
		for (const [id, {expiresMs}] of this.#turns) {
			if (expiresMs <= now) {
				this.#turns.delete(id);
			}
		}

		return [...this.#turns.values()];
	}

	#handleTurnMessage({turn, fingerprint, target, order, runs}: PeerMessageOf<'turn'>): void {
		this.#lastOrder = Math.max(this.#lastOrder, order);
		if (!runs) {
			this.#turns.delete(turn);
		} else if (this.#turns.size < maxKnownTurns) {
			this.#turns.set(turn, {
				id: turn, fingerprint, target, order, expiresMs: this.#dependencies.clock.now() + this.#expiryMs,
			});
		}

		this.#wakeWaiters();
	}

	#broadcast({id, fingerprint, target, order}: KnownTurn, isActive: boolean): void {
		this.#dependencies.bus.broadcastViaPeers({
			kind: 'turn', turn: id, fingerprint, target, order, runs: isActive,
		});
	}

	async #waitForChange(signal: AbortSignal): Promise<void> {
		const controller = new AbortController();
		const wake = () => {
			controller.abort();
		};

		this.#waiters.add(wake);
		await this.#dependencies.clock.sleep(recheckIntervalMs, AbortSignal.any([signal, controller.signal]));
		this.#waiters.delete(wake);
	}

	#wakeWaiters(): void {
		for (const wake of this.#waiters) {
			wake();
		}
	}
}

function isConflict(a: KnownTurn, b: KnownTurn): boolean {
	return a.target === b.target || a.fingerprint === b.fingerprint;
}

function isBefore(a: KnownTurn, b: KnownTurn): boolean {
	return a.order === b.order ? a.id < b.id : a.order < b.order;
}
