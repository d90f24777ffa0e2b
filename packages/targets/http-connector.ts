/** Opens HTTP handles to targets; the pool's kind decides which adapter. */
import {createEngineLink} from './engine-link.ts';
import {createServiceLink} from './service-link.ts';
import type {
	Target, TargetConnector, TargetLink, TargetKind,
} from '#core';

/** Options of {@link createHttpConnector}. */
export type HttpConnectorOptions = Readonly<{
	/** Time to connect, in milliseconds. Default: 1000. */
	connectMs?: number;
	/** Connections to one target. Default: 64. */
	connections?: number;
}>;

type LinkMaker = (target: Target, options: HttpConnectorOptions) => TargetLink;

const linkMakers: Readonly<Record<TargetKind, LinkMaker>> = {
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
		open: (pool, target) => linkMakers[pool.kind](target, options),
	};
}
