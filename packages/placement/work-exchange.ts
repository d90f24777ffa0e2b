/**
 * Exchanges with the peers the work that each instance has in progress on each
 * target. Load reports lag, and only this exchange shows what other instances have
 * sent since the last report. An instance sends a message when its work changed, and
 * repeats it while work is in progress, because messages may be lost.
 */
import type {TargetWork} from './target-views.ts';
import {waitForTick, type Clock} from '#clock';
import {maxFullMeshPeers} from '#membership';
import type {PeerBus} from '#peer-protocol';

/** Dependencies of {@link runWorkExchange}. */
export type WorkExchangeDependencies = Readonly<{views: WorkRegistry; bus: PeerBus; clock: Clock}>;

/** Holds the work in progress on targets: that of this instance, and that of its peers, by their incarnation. */
export type WorkRegistry = Readonly<{
	listWork(): readonly TargetWork[];
	applyPeerWork(peer: string, work: readonly TargetWork[], nowMs: number): void;
	removePeersExcept(peers: readonly string[]): void;
}>;

/** Options of {@link runWorkExchange}. */
export type WorkExchangeOptions = Readonly<{
	/** Minimum time between messages, in milliseconds. Default: 100 while every message goes to all peers, else 1000. */
	intervalMs?: number;
	/** Time after which an unchanged message is repeated, in milliseconds. Default: 1000. */
	repeatIntervalMs?: number;
}>;

/** Interval while the fleet is small and every message goes to all peers. */
const meshIntervalMs = 100;

/** Interval in larger fleets. A message goes to only a sample of the peers, so frequent messages are of less use, and the longer interval bounds the bytes that each instance sends. */
const sampledIntervalMs = 1000;
const defaultRepeatIntervalMs = 1000;
/** Maximum number of targets in a message. */
const maxTargets = 256;

/** Runs the exchange until `signal` aborts. */
export async function runWorkExchange({views, bus, clock}: WorkExchangeDependencies, signal: AbortSignal, options: WorkExchangeOptions = {}): Promise<void> {
	const {intervalMs, repeatIntervalMs = defaultRepeatIntervalMs} = options;
	const unsubscribe = bus.subscribe('sent', (message, from) => {
		views.applyPeerWork(from.incarnation, message.targets, clock.now());
	});
	let lastWork: readonly TargetWork[] = [];
	// Time of the last message, or of the last check for a repetition.
	let repeatTimerStartMs = clock.now();
	try {
		while (!signal.aborted) {
			const work = views.listWork().slice(0, maxTargets);
			const isRepeatDue = clock.now() - repeatTimerStartMs >= repeatIntervalMs;
			if (isRepeatDue) {
				views.removePeersExcept(bus.listPeers().map(({incarnation}) => incarnation));
			}

			if (!isSameWork(work, lastWork) || (isRepeatDue && work.length > 0)) {
				bus.sendToSample({
					kind: 'sent', targets: work.map(({byUrgency, speed, pace, ...rest}) => ({
						...rest, ...(byUrgency && {byUrgency: [...byUrgency]}), ...(speed && {speed: [...speed]}), ...(pace && {pace: [...pace]}),
					})),
				});
				lastWork = work;
			}

			repeatTimerStartMs = isRepeatDue || lastWork === work ? clock.now() : repeatTimerStartMs;
			await waitForTick(clock, intervalMs ?? (bus.listPeers().length <= maxFullMeshPeers ? meshIntervalMs : sampledIntervalMs), signal);
		}
	} finally {
		unsubscribe();
	}
}

/** Compares two lists of work by target, process, requests, tokens and statements; the tokens by urgency, the speed, the pace and the age of the statements are not compared. */
function isSameWork(a: readonly TargetWork[], b: readonly TargetWork[]): boolean {
	return a.length === b.length && a.every(({target, startedWallMs, requests, tokens, statement, limit}, index) => {
		const other = b[index]!;
		return other.target === target && other.startedWallMs === startedWallMs && other.requests === requests && other.tokens === tokens
			&& isSameStatement(other.statement, statement) && isSameStatement(other.limit, limit);
	});
}

function isSameStatement(a: TargetWork['statement'], b: TargetWork['statement']): boolean {
	return Boolean(a) === Boolean(b) && a?.perSecond === b?.perSecond && a?.isLeaving === b?.isLeaving && a?.maxRefusals === b?.maxRefusals;
}
