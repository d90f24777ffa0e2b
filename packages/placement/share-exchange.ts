/**
 * Tells the peers what this instance has in progress on each target, and takes
 * in what they say: load reports lag, and what was sent since then shows nowhere
 * else. A message goes out when something changed, and is repeated while
 * something is in progress, because messages may be lost.
 */
import type {TargetShare} from './views.ts';
import type {Clock} from '#clock';
import {meshPeers} from '#membership';
import type {PeerBus} from '#peer-protocol';

/** What the exchange works with. */
export type ShareExchangeDeps = Readonly<{views: SharedWork; bus: PeerBus; clock: Clock}>;

/** Where the work on targets is known. */
export type SharedWork = Readonly<{
	listShares(): readonly TargetShare[];
	applyPeerShares(peer: string, shares: readonly TargetShare[], nowMs: number): void;
	forgetPeersExcept(names: readonly string[]): void;
}>;

/** Options of {@link runShareExchange}. */
export type ShareExchangeOptions = Readonly<{
	/** Least time between messages, in milliseconds. Default: 100 while all peers hear them, else 1000. */
	everyMs?: number;
	/** Time after which an unchanged message is repeated, in milliseconds. Default: 1000. */
	repeatMs?: number;
}>;

const meshEveryMs = 100;

/** In a fleet where only some peers hear what is sent, it is worth less, and the bytes for each instance are bounded. */
const fleetEveryMs = 1000;
const defaultRepeatMs = 1000;
const maxTargets = 256;

/** Runs until `signal` aborts. */
export async function runShareExchange({views, bus, clock}: ShareExchangeDeps, signal: AbortSignal, options: ShareExchangeOptions = {}): Promise<void> {
	const {everyMs, repeatMs = defaultRepeatMs} = options;
	const unsubscribe = bus.subscribe('sent', (message, from) => {
		views.applyPeerShares(from.name, message.targets, clock.now());
	});
	let last: readonly TargetShare[] = [];
	let lastMs = clock.now();
	while (!signal.aborted) {
		const shares = views.listShares().slice(0, maxTargets);
		const isDue = clock.now() - lastMs >= repeatMs;
		if (isDue) {
			views.forgetPeersExcept(bus.listPeers().map(({name}) => name));
		}

		if (!hasSameShares(shares, last) || (isDue && shares.length > 0)) {
			bus.sample({kind: 'sent', targets: shares.map(({byUrgency, ...share}) => byUrgency ? {...share, byUrgency: [...byUrgency]} : share)});
			last = shares;
		}

		lastMs = isDue || last === shares ? clock.now() : lastMs;
		await clock.sleep(everyMs ?? (bus.listPeers().length <= meshPeers ? meshEveryMs : fleetEveryMs), signal);
	}

	unsubscribe();
}

function hasSameShares(a: readonly TargetShare[], b: readonly TargetShare[]): boolean {
	return a.length === b.length && a.every(({target, requests, tokens}, index) => {
		const other = b[index]!;
		return other.target === target && other.requests === requests && other.tokens === tokens;
	});
}
