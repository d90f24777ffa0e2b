/** Options of a stand-in engine: its capacities, speeds and delays, with their defaults. */
import type {WeightStoreStandin} from './weight-store.ts';

/** Options of {@link EngineStandin}. */
export type EngineOptions = Readonly<{
	/** Maximum number of requests in the running batch. Default: 8. */
	slots?: number;
	/** Prefill speed, in tokens per millisecond. Default: 8. */
	prefillTokensPerMs?: number;
	/** Speed of imports from the shared KV cache store, in tokens per millisecond. Default: 40. */
	importTokensPerMs?: number;
	/** Time between two tokens while a single request runs, in milliseconds. Default: 12. */
	tokenGapMs?: number;
	/** Relative increase of the time between two tokens for each further running request. Default: 0.03. */
	tokenGapGrowth?: number;
	/** Capacity of the prefix cache, in tokens. Default: 200 000. */
	cacheTokens?: number;
	/** Time from a cache change to its event, in milliseconds. Default: 300. */
	eventDelayMs?: number;
	/** Interval at which the load report is refreshed, in milliseconds. Default: 500. */
	reportIntervalMs?: number;
	/** Whether the engine refuses an order whose fencing token is lower than the highest one it accepted. Default: `true`. */
	checksFencing?: boolean;
	/** Model and weights loaded at the start. Default: none. */
	model?: string;
	weights?: string;
	/** Weight store from which the engine loads. Default: none; loads take no time. */
	weightStore?: WeightStoreStandin;
	/** Text that crashes the engine when a prompt contains it. Default: `!!crash!!`. */
	crashText?: string;
	/** Time for which a generation can be resumed after its connection is lost, in milliseconds. Default: 5000. */
	resumeHoldMs?: number;
	/** Piece keys in the KV cache store that the engines of a pool share. Default: no store. */
	keptStore?: Set<string>;
	/** Seed of the engine's random choices. Default: 1. */
	seed?: number;
	/** Called after each prefill with the keys and token counts of the pieces that were computed. Default: none. */
	onPrefill?: (keys: readonly string[], tokens: readonly number[]) => void;
}>;

/** Options with their defaults filled in. */
export type EngineSettings = Readonly<Required<Omit<EngineOptions, 'model' | 'weights' | 'weightStore' | 'keptStore' | 'onPrefill'>>>
	& Pick<EngineOptions, 'model' | 'weights' | 'weightStore' | 'keptStore' | 'onPrefill'>;

const defaultSettings: EngineSettings = {
	slots: 8, prefillTokensPerMs: 8, importTokensPerMs: 40, tokenGapMs: 12, tokenGapGrowth: 0.03, cacheTokens: 200_000,
	eventDelayMs: 300, reportIntervalMs: 500, checksFencing: true, crashText: '!!crash!!', resumeHoldMs: 5000, seed: 1,
};

export function resolveOptions(options: EngineOptions): EngineSettings {
	return {...defaultSettings, ...options};
}
