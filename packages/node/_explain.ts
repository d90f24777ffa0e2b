/** Explains on which target a request would be placed now, with each term of the candidates' ranks. */
import {
	fail, succeed, type Configuration, type RefusalReason, type Result,
} from '#core';
import {
	createChainFactory, type Candidate, type Exclusion, type Placer,
} from '#placement';

/** A request whose placement is to be explained. */
export type ExplainRequest = Readonly<{
	customer: string;
	route: string;
	messages: ReadonlyArray<Readonly<{role: string; content: string}>>;
}>;

/** Explanation of a placement; the best candidate comes first. */
export type Explanation = Readonly<{
	generation: number;
	route: string;
	pool: string;
	customer: string;
	promptTokens: number;
	pieces: number;
	/** Targets of the pool that may not be chosen at present. */
	ineligible: ReadonlyArray<Readonly<{target: string; reason: Exclusion}>>;
	candidates: readonly Candidate[];
}>;

/** Ranks the targets of the route's pool for a request without sending it. */
export function explainPlacement(configuration: Configuration | undefined, placer: Placer, request: ExplainRequest): Result<Explanation, RefusalReason> {
	if (!configuration) {
		return fail('not_configured');
	}

	const customer = configuration.customers.get(request.customer);
	if (!customer) {
		return fail('unauthenticated');
	}

	const route = configuration.routes.get(request.route);
	if (!route) {
		return fail('route_unknown');
	}

	if (!customer.routes.includes(route.name)) {
		return fail('route_not_allowed');
	}

	const pool = configuration.pools.get(route.pool)!;
	const createChain = pool.kind === 'engine'
		? createChainFactory({customer: customer.name, model: pool.model ?? ''}, request.messages, pool.pieceTokens)
		: undefined;
	const {candidates, excluded, chain} = placer.explain({pool, createChain, excluded: new Set()});
	return succeed({
		generation: configuration.generation, route: route.name, pool: pool.name, customer: customer.name,
		promptTokens: chain?.totalTokens ?? 0, pieces: chain?.keys.length ?? 0,
		ineligible: excluded.map(({target, reason}) => ({target: target.name, reason})),
		candidates,
	});
}
