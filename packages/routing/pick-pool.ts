/** Chooses a pool by the shares of a route. */
import type {PoolShare} from '#core';

/**
 * Picks a pool.
 *
 * @param draw a number in [0, 1); the same number always picks the same pool
 * @returns nothing when no pool has a share
 */
export function pickPool(shares: readonly PoolShare[], draw: number): string | undefined {
	if (shares.length === 1) {
		return shares[0]!.pool;
	}

	const total = shares.reduce((sum, {weight}) => sum + weight, 0);
	let rest = draw * total;
	for (const {pool, weight} of shares) {
		rest -= weight;
		if (rest < 0) {
			return pool;
		}
	}

	return undefined;
}
