/** What a stand-in engine is like: sizes, speeds and delays, each with its default. */
import type {WeightStoreStandin} from './weight-store.ts';

/** Options of {@link EngineStandin}. */
export type EngineOptions = Readonly<{
	/** Requests that run at once. Default: 8. */
	slots?: number;
	/** Prefill speed, in tokens per millisecond. Default: 8. */
	prefillTokensPerMs?: number;
	/** Speed of an import from the kept store, in tokens per millisecond. Default: 40. */
	importTokensPerMs?: number;
	/** Time between tokens when one request runs, in milliseconds. Default: 12. */
	tokenGapMs?: number;
	/** Growth of the time between tokens for each further running request. Default: 0.03. */
	gapGrowth?: number;
	/** Size of the prefix cache, in tokens. Default: 200 000. */
	cacheTokens?: number;
	/** Delay of cache events, in milliseconds. Default: 300. */
	eventDelayMs?: number;
	/** Time between load reports, in milliseconds. Default: 500. */
	reportEveryMs?: number;
	/** Whether orders with an old fencing number are refused. Default: `true`. */
	checksFencing?: boolean;
	/** Model and weights loaded at the start. Default: none. */
	model?: string;
	weights?: string;
	/** Shared weight store. Default: loads take no time. */
	weightStore?: WeightStoreStandin;
	/** Text in a prompt that crashes the engine. Default: `!!crash!!`. */
	poison?: string;
	/** Time for which a generation outlives a lost connection, in milliseconds. Default: 5000. */
	resumeHoldMs?: number;
	/** Keys of the store of kept KV cache, shared by the pool's engines. Default: none. */
	keptStore?: Set<string>;
	/** Seed of the engine's random choices. Default: 1. */
	seed?: number;
	/** Called with the piece keys and tokens of each prompt that was computed. Default: none. */
	onPrefill?: (keys: readonly string[], tokens: readonly number[]) => void;
}>;

/** Options with their defaults filled in. */
export type EngineSettings = Readonly<Required<Omit<EngineOptions, 'model' | 'weights' | 'weightStore' | 'keptStore' | 'onPrefill'>>>
	& Pick<EngineOptions, 'model' | 'weights' | 'weightStore' | 'keptStore' | 'onPrefill'>;

const defaults: EngineSettings = {
	slots: 8, prefillTokensPerMs: 8, importTokensPerMs: 40, tokenGapMs: 12, gapGrowth: 0.03, cacheTokens: 200_000,
	eventDelayMs: 300, reportEveryMs: 500, checksFencing: true, poison: '!!crash!!', resumeHoldMs: 5000, seed: 1,
};

/** Fills in the defaults. */
export function resolveOptions(options: EngineOptions): EngineSettings {
	return {...defaults, ...options};
}
