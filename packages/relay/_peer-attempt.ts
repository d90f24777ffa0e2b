/**
 * Runs one attempt of a request through a peer, which chooses the targets and
 * retries by the same rules. The attempt is aborted at the request's deadline,
 * when the caller leaves or when the peer falls silent.
 */
import {AnswerBody, type BodyRecord} from './_answer-body.ts';
import type {AnswerDelivery} from './_answer-delivery.ts';
import {getStreamKey, isEventStream, type AttemptFailure} from './_attempt.ts';
import type {RelayCaller} from './caller.ts';
import type {TargetDialect} from './dialect.ts';
import {brokenOffDetail, encodeRelayedRequest, PeerExchange} from './peer-exchange.ts';
import type {OpenRequests} from './open-requests.ts';
import type {PeerPaths} from './peer-paths.ts';
import type {StreamOrigins} from './stream-origins.ts';
import type {ReachedTargets} from './_target-chooser.ts';
import type {Clock} from '#clock';
import type {Refusal, RelayPool, RelayRequest} from '#core';
import type {AttemptCause} from '#dispatch';
import {canRelay, type Peer, type PeerBus} from '#peer-protocol';

export type PeerAttemptDependencies = Readonly<{
	clock: Clock;
	bus: PeerBus;
	dialect: TargetDialect;
	streamOrigins: StreamOrigins;
	openRequests: Pick<OpenRequests, 'subscribeEnd'>;
	peerPaths: PeerPaths;
}>;

/** An attempt of a request through a peer. */
export type PeerAttempt = Readonly<{
	request: RelayRequest;
	pool: RelayPool;
	peer: Peer;
	/** Maximum number of targets that may still run the request. */
	maxTargets: number;
	/** Only version of the targets' software that may run the request. */
	softwareVersion: string | undefined;
	caller: RelayCaller;
	delivery: AnswerDelivery;
	/** Whether the request could go on elsewhere if the attempt were aborted. */
	canMove: (reached: ReachedTargets) => boolean;
}>;

/** The outcome of such an attempt; there is neither a failure nor a refusal if the caller was sent its complete answer. */
export type PeerAttemptResult = Readonly<{
	failure?: AttemptFailure;
	refusal?: Refusal;
	/** Whether another path may still give the caller a complete answer: the peer did not end the request by the rules for retries. */
	canRetry: boolean;
	body?: BodyRecord;
	/** Targets that the request may have reached through the peer. */
	targets: readonly string[];
	/** Version of the software of the target that answered. */
	softwareVersion?: string | undefined;
}>;

/** Time without any sign of life from the peer after which its work is given up, in milliseconds: two heartbeats. */
const maxPeerSilenceMs = 2200;

const checkIntervalMs = 200;

/** Causes of aborts by this instance, by the detail of the fault; any other fault has the cause `lost`. */
const abortCauses: ReadonlyMap<string, AttemptCause> = new Map([['deadline', 'deadline'], ['silent', 'silent'], ['stopped', 'stopped']]);

/** Runs one attempt through a peer until it has finished. */
export async function runPeerAttempt(dependencies: PeerAttemptDependencies, attempt: PeerAttempt): Promise<PeerAttemptResult> {
	const {clock, bus, peerPaths, openRequests} = dependencies;
	const {request, pool, peer, maxTargets, softwareVersion, caller, delivery, canMove} = attempt;
	const exchange = new PeerExchange(() => clock.now());
	const relayed = encodeRelayedRequest(request, pool, {
		maxTargets, softwareVersion, remainingMs: request.deadlineMs - clock.now(), lastEventId: delivery.lastEventId ?? request.lastEventId,
	});
	if (!canRelay(relayed) || !exchange.start(bus, peer, relayed)) {
		return {failure: {cause: 'not_sent', detail: 'no link to the peer is open, or the request is not one that it takes'}, canRetry: true, targets: []};
	}

	const recordEnd = peerPaths.recordStart(peer, request.body?.length ?? 0);
	const cancels = [
		caller.subscribeLeave(() => {
			exchange.abort('the caller left');
		}),
		clock.setTimer(request.deadlineMs - clock.now(), () => {
			exchange.abort('deadline');
		}),
		openRequests.subscribeEnd(() => {
			exchange.abort('stopped');
		}),
		clock.subscribe(checkIntervalMs, () => {
			if (request.route.retryPolicy !== 'once' && exchange.getPeerSilenceMs() > maxPeerSilenceMs && (!delivery.hasStarted || canMove(exchange))) {
				exchange.abort('silent');
			}
		}),
	];
	try {
		return await receiveAnswer(dependencies, attempt, exchange);
	} finally {
		recordEnd();
		for (const cancel of cancels) {
			cancel();
		}
	}
}

async function receiveAnswer({dialect, streamOrigins}: PeerAttemptDependencies, {request, pool, delivery}: PeerAttempt, exchange: PeerExchange): Promise<PeerAttemptResult> {
	const read = await exchange.readHead();
	const {targets} = exchange;
	if (read.kind === 'refusal') {
		const {refusal} = read;
		const isUntried = refusal.ran === 'not_run' && targets.length === 0;
		return {refusal, canRetry: isUntried || refusal.reason === 'stopped', targets};
	}

	if (read.kind === 'fault') {
		return {...classifyFault(read.fault.detail), targets};
	}

	const answer = dialect.decodeHead(read.head);
	const body = new AnswerBody(exchange, isEventStream(request, answer));
	const mismatch = delivery.explainMismatch(answer);
	if (mismatch !== undefined) {
		body.abort('the answer does not continue the one that has started');
		return {failure: {cause: 'failed', detail: `the peer answered with ${mismatch}`}, canRetry: false, targets};
	}

	const {softwareVersion} = exchange;
	const fault = await delivery.deliver(answer, body, () => {
		if (softwareVersion !== undefined) {
			streamOrigins.recordOwn(getStreamKey(request), {pool: pool.name, softwareVersion});
		}
	});
	return {
		...(fault === undefined ? {canRetry: false} : classifyFault(fault)), targets, softwareVersion, body: body.describe(),
	};
}

/** Classifies a fault. After an answer that the peer itself left incomplete, there is no retry, unless it stops: the peer has used up what the rules allow. */
function classifyFault(detail: string): Pick<PeerAttemptResult, 'canRetry'> & Readonly<{failure: AttemptFailure}> {
	return {failure: {cause: abortCauses.get(detail) ?? 'lost', detail}, canRetry: detail !== brokenOffDetail};
}
