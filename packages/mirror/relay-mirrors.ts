/**
 * Hands differences between mirrors from peer to peer. Heartbeats say how far
 * each peer's copies are; an instance that stays behind asks the peer for what
 * it lacks. So news reaches instances that the store turns away or whose
 * connection to it has gone silent.
 */
import type {KindMirror} from './kind-mirror.ts';
import type {Clock} from '#clock';
import type {Peer, PeerBus, PeerStatus} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

/** What the relay of mirrors works with. */
export type MirrorRelayDeps = Readonly<{
	mirrors: readonly KindMirror[];
	bus: PeerBus;
	clock: Clock;
	telemetry: Telemetry;
	/** Whether the instances are so many that only some watch the store. */
	isFleet: () => boolean;
}>;

/** Time that the own watch has to bring what a peer already knows, in milliseconds. */
const ownWatchMs = 100;

/** Time between announcements of changes in a fleet where not all watch the store, in milliseconds. */
const announceMs = 200;

/** Passes differences on, and asks for them. */
export class MirrorRelay {
	readonly #deps: MirrorRelayDeps;
	readonly #byKind: ReadonlyMap<string, KindMirror>;
	readonly #asking = new Set<string>();
	/** Whether changes wait for the next announcement. */
	#hasNews = false;
	#isPausing = false;

	constructor(deps: MirrorRelayDeps) {
		this.#deps = deps;
		this.#byKind = new Map(deps.mirrors.map(mirror => [mirror.kind, mirror]));
		deps.bus.answer('changes', ({objects, since}) => {
			const mirror = this.#byKind.get(objects);
			return mirror && mirror.revision > 0 ? makeAnswer(mirror, since) : undefined;
		});
		deps.bus.subscribe('positions', ({revisions}, from) => {
			this.#compare(from, revisions);
		});
		for (const mirror of deps.mirrors) {
			mirror.events.on('changed', () => {
				this.#announce();
			});
		}
	}

	/** The newest change that is known of each kind, for heartbeats. */
	readRevisions(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#deps.mirrors.map(({kind, changedRevision}) => [kind, changedRevision]));
	}

	/** Takes in the newest changes that a peer knows. */
	hear(peer: Peer, {revisions = {}}: PeerStatus): void {
		this.#compare(peer, revisions);
	}

	/** Tells the neighbours of changes without waiting for the next heartbeat, where most of them do not watch the store. */
	#announce(): void {
		const {bus, clock, isFleet} = this.#deps;
		if (this.#isPausing || !isFleet()) {
			this.#hasNews = true;
			return;
		}

		this.#hasNews = false;
		this.#isPausing = true;
		bus.sample({kind: 'positions', revisions: {...this.readRevisions()}});
		clock.after(announceMs, () => {
			this.#isPausing = false;
			if (this.#hasNews) {
				this.#announce();
			}
		});
	}

	#compare(peer: Peer, revisions: Readonly<Record<string, number>>): void {
		for (const [kind, revision] of Object.entries(revisions)) {
			const mirror = this.#byKind.get(kind);
			if (mirror && revision > mirror.revision && !this.#asking.has(kind)) {
				this.#asking.add(kind);
				this.#deps.clock.after(ownWatchMs, () => {
					void this.#catchUp(mirror, peer, revision);
				});
			}
		}
	}

	async #catchUp(mirror: KindMirror, peer: Peer, revision: number): Promise<void> {
		const {bus, telemetry} = this.#deps;
		const since = mirror.revision;
		if (since < revision) {
			const answer = await bus.request(peer, {kind: 'changes', objects: mirror.kind, since});
			telemetry.count('mirror_fetches_total', {kind: mirror.kind, result: answer.ok ? 'fetched' : answer.error});
			if (answer.ok) {
				const {isWhole, changed, deleted, revision: reached} = answer.value;
				if (isWhole) {
					mirror.replace(changed, reached);
				} else {
					mirror.apply({changed, deleted, revision: reached}, since);
				}
			}
		}

		this.#asking.delete(mirror.kind);
	}
}

function makeAnswer(mirror: KindMirror, since: number) {
	const diff = mirror.diff(since);
	return {
		kind: 'changes' as const, isWhole: diff === undefined, changed: [...diff?.changed ?? mirror.list()], deleted: [...diff?.deleted ?? []],
		revision: mirror.revision,
	};
}
