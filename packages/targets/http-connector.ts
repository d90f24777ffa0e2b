/** Opens HTTP handles to targets; the pool's kind selects the adapter. */
import {createEngineLink} from './engine-link.ts';
import {createServiceLink} from './service-link.ts';
import type {
	Target, TargetConnector, TargetLink, TargetKind,
} from '#core';

/** Options of {@link createHttpConnector}. */
export type HttpConnectorOptions = Readonly<{
	/** Maximum time to connect, in milliseconds. Default: 1000. */
	connectTimeoutMs?: number;
	/** Maximum number of keep-alive connections to one target. Default: 64. */
	maxConnections?: number;
}>;

type LinkFactory = (target: Target, options: HttpConnectorOptions) => TargetLink;

const linkFactories: Readonly<Record<TargetKind, LinkFactory>> = {
	engine: createEngineLink,
	service: createServiceLink,
};

/**
 * Creates the connector that the router uses in production.
 *
 * @example
 * ```ts
 * const link = createHttpConnector().open(pool, target);
 * ```
 */
export function createHttpConnector(options: HttpConnectorOptions = {}): TargetConnector {
	return {
		open: (pool, target) => linkFactories[pool.kind](target, options),
	};
}
