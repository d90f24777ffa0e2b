/** One run of the placement bench with one policy, one load and one fault. */
import {build, type Histogram} from 'hdr-histogram-js';
import {Cluster, promisedFirstTokenMs, type ClusterOptions} from './_placement-cluster.ts';
import type {Fault} from './_placement-faults.ts';
import type {LoadRequest} from './_placement-load.ts';
import type {AnswerEvent} from '#core';

/** Results of a run. */
export type PolicyMeasurements = Readonly<{
	/** Ratio of prompt tokens that the engines had cached. */
	hitRate: number;
	ttftMsP50: number;
	ttftMsP95: number;
	ttftMsP99: number;
	/** Ratio of prompt tokens that were computed although some engine had computed them before. */
	recomputedRatio: number;
	/** Ratio of requests that were answered completely, with the first token within the promised time. */
	answeredInTimeRatio: number;
}>;

/** Options of {@link runPolicy}. */
export type RunOptions = ClusterOptions & Readonly<{
	load: readonly LoadRequest[];
	durationMs: number;
	/** Requests before this time are not counted. */
	warmUpMs: number;
	fault: Fault;
}>;

const drainMs = 20_000;
/** Also recorded for a request without a token. */
const maxTtftMs = 60_000;

type Tally = {
	/** Time to the first token, in tenths of a millisecond. */
	readonly ttft: Histogram;
	requests: number;
	inTime: number;
};

/** Runs a load through a new cluster. */
export async function runPolicy(options: RunOptions): Promise<PolicyMeasurements> {
	const cluster = new Cluster(options);
	await cluster.start();
	const tally: Tally = {ttft: build({highestTrackableValue: maxTtftMs * 10, numberOfSignificantValueDigits: 3}), requests: 0, inTime: 0};
	options.fault(cluster, options.durationMs);
	let before = countTokens(cluster);
	cluster.clock.setTimer(options.warmUpMs, () => {
		before = countTokens(cluster);
	});
	for (const request of options.load) {
		cluster.clock.setTimer(request.atMs, () => {
			void runRequest(cluster, request, request.atMs >= options.warmUpMs ? tally : undefined);
		});
	}

	await cluster.clock.advance(options.durationMs + drainMs);
	const measurements = computeMeasurements(tally, before, countTokens(cluster));
	await cluster.stop();
	return measurements;
}

type TokenCounts = Readonly<{cached: number; computed: number; imported: number; recomputed: number}>;

function countTokens(cluster: Cluster): TokenCounts {
	const engines = [...cluster.engines.values()];
	return {
		cached: engines.reduce((sum, engine) => sum + engine.cachedTokens, 0),
		computed: engines.reduce((sum, engine) => sum + engine.prefilledTokens, 0),
		imported: engines.reduce((sum, engine) => sum + engine.importedTokens, 0),
		recomputed: cluster.recomputedTokens,
	};
}

function computeMeasurements(tally: Tally, before: TokenCounts, after: TokenCounts): PolicyMeasurements {
	const cached = after.cached - before.cached;
	const total = cached + after.computed - before.computed + after.imported - before.imported;
	return {
		hitRate: cached / total,
		ttftMsP50: tally.ttft.getValueAtPercentile(50) / 10,
		ttftMsP95: tally.ttft.getValueAtPercentile(95) / 10,
		ttftMsP99: tally.ttft.getValueAtPercentile(99) / 10,
		recomputedRatio: (after.recomputed - before.recomputed) / total,
		answeredInTimeRatio: tally.inTime / tally.requests,
	};
}

async function runRequest(cluster: Cluster, request: LoadRequest, tally: Tally | undefined): Promise<void> {
	const {clock, routers} = cluster;
	const router = routers[Math.floor(request.routerFraction * routers.length)]!;
	const startMs = clock.now();
	let ttftMs = maxTtftMs;
	let isComplete = false;
	if (tally) {
		tally.requests++;
	}

	const events: AsyncIterable<AnswerEvent> = router.handle({
		route: 'chat', authorization: `Bearer ${request.customer}`, work: {
			kind: 'chat', messages: request.messages, maxTokens: request.maxTokens, extra: {},
		},
	}, new AbortController().signal);
	for await (const event of events) {
		if (event.kind === 'data') {
			ttftMs = Math.min(ttftMs, clock.now() - startMs);
		}

		isComplete ||= event.kind === 'end';
	}

	if (tally) {
		tally.ttft.recordValue(Math.max(1, Math.round(ttftMs * 10)));
		tally.inTime += isComplete && ttftMs <= promisedFirstTokenMs ? 1 : 0;
	}
}
