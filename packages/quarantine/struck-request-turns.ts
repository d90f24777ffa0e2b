/**
 * Turns of struck requests: at most one struck request runs on a target, and a
 * struck request runs on at most one target, over all instances. An instance
 * announces a turn, waits until the peers must have heard it, and runs if no
 * earlier announcement stands against it (Ricart and Agrawala, 1981, with a
 * time bound in place of replies, so that a dead peer blocks nobody). While
 * peers cannot hear each other the rule holds for each side alone.
 */
import type {Cancel, Clock} from '#clock';
import type {Random} from '#core';
import type {PeerBus, PeerMessageOf} from '#peer-protocol';

/** What turns work with. */
export type TurnDeps = Readonly<{clock: Clock; random: Random; bus: PeerBus}>;

/** Options of {@link StruckTurns}. */
export type TurnOptions = Readonly<{
	/** Time after which every peer has heard an announcement, in milliseconds. Default: 30. */
	settleMs?: number;
	/** Time after which a turn that is not renewed counts as over, in milliseconds. Default: 6000. */
	holdMs?: number;
}>;

/** A right to run a struck request. */
export type Turn<Place> = Readonly<{place: Place; end: () => void}>;

/** What a turn is taken for. */
export type TurnRequest<Place> = Readonly<{
	fingerprint: string;
	/** Chooses where to run, leaving out the targets that have a struck request already. */
	choose: (busy: ReadonlySet<string>) => Place | undefined;
	/** Name of the chosen target. */
	nameOf: (place: Place) => string;
}>;

type Announcement = Readonly<{
	id: string;
	fingerprint: string;
	target: string;
	order: number;
	untilMs: number;
}>;

const maxAnnouncements = 4096;
const recheckMs = 250;

/** Takes and gives up turns. */
export class StruckTurns {
	readonly #deps: TurnDeps;
	readonly #settleMs: number;
	readonly #holdMs: number;
	readonly #known = new Map<string, Announcement>();
	readonly #waiters = new Set<() => void>();
	readonly #cancel: Cancel;
	#order = 0;

	constructor(deps: TurnDeps, options: TurnOptions = {}) {
		this.#deps = deps;
		this.#settleMs = options.settleMs ?? 30;
		this.#holdMs = options.holdMs ?? 6000;
		this.#cancel = deps.bus.subscribe('turn', message => {
			this.#hear(message);
		});
	}

	/**
	 * Waits for a turn.
	 *
	 * @returns nothing when no target may be chosen at all, or `signal` has aborted
	 */
	async take<Place>({fingerprint, choose, nameOf}: TurnRequest<Place>, signal: AbortSignal): Promise<Turn<Place> | undefined> {
		while (!signal.aborted) {
			const others = this.#listLive();
			const busy = new Set(others.map(other => other.target));
			const place = choose(busy);
			if (!place && !choose(new Set())) {
				return undefined;
			}

			const isElsewhere = others.some(other => other.fingerprint === fingerprint);
			const turn = place && !isElsewhere ? await this.#tryTurn(fingerprint, place, nameOf(place), signal) : undefined;
			if (turn) {
				return turn;
			}

			await this.#waitForChange(signal);
		}

		return undefined;
	}

	/** Stops listening. */
	close(): void {
		this.#cancel();
	}

	async #tryTurn<Place>(fingerprint: string, place: Place, target: string, signal: AbortSignal): Promise<Turn<Place> | undefined> {
		const {clock, random, bus} = this.#deps;
		this.#order++;
		const id = random.id();
		const own = {
			id, fingerprint, target, order: this.#order, untilMs: Infinity,
		};
		this.#known.set(id, own);
		this.#tell(own, true);
		const cancelRenewal = clock.subscribe(this.#holdMs / 3, () => {
			this.#tell(own, true);
		});
		const end = () => {
			cancelRenewal();
			if (this.#known.delete(id)) {
				this.#tell(own, false);
				this.#wakeAll();
			}
		};

		if (bus.listPeers().length > 0) {
			await clock.sleep(this.#settleMs, signal);
		}

		if (!signal.aborted && this.#isFirst(own)) {
			return {place, end};
		}

		end();
		return undefined;
	}

	#isFirst(own: Announcement): boolean {
		return this.#listLive().every(other => other.id === own.id || !isConflict(own, other) || isBefore(own, other));
	}

	#listLive(): readonly Announcement[] {
		const now = this.#deps.clock.now();
		for (const [id, {untilMs}] of this.#known) {
			if (untilMs <= now) {
				this.#known.delete(id);
			}
		}

		return [...this.#known.values()];
	}

	#hear({turn, fingerprint, target, order, runs}: PeerMessageOf<'turn'>): void {
		this.#order = Math.max(this.#order, order);
		if (!runs) {
			this.#known.delete(turn);
		} else if (this.#known.size < maxAnnouncements) {
			this.#known.set(turn, {
				id: turn, fingerprint, target, order, untilMs: this.#deps.clock.now() + this.#holdMs,
			});
		}

		this.#wakeAll();
	}

	#tell({id, fingerprint, target, order}: Announcement, runs: boolean): void {
		this.#deps.bus.relay({
			kind: 'turn', turn: id, fingerprint, target, order, runs,
		});
	}

	async #waitForChange(signal: AbortSignal): Promise<void> {
		const controller = new AbortController();
		const wake = () => {
			controller.abort();
		};

		this.#waiters.add(wake);
		await this.#deps.clock.sleep(recheckMs, AbortSignal.any([signal, controller.signal]));
		this.#waiters.delete(wake);
	}

	#wakeAll(): void {
		for (const wake of this.#waiters) {
			wake();
		}
	}
}

function isConflict(a: Announcement, b: Announcement): boolean {
	return a.target === b.target || a.fingerprint === b.fingerprint;
}

function isBefore(a: Announcement, b: Announcement): boolean {
	return a.order === b.order ? a.id < b.id : a.order < b.order;
}
