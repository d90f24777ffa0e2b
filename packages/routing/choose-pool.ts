/** Chooses one of the pools of a route at random, in proportion to their weights. */
import type {PoolShare} from '#core';

/**
 * Chooses a pool in proportion to the weights. A single pool is always chosen.
 *
 * @param randomNumber a number in [0, 1); the same number always chooses the same pool
 * @returns `undefined` if there is no pool, or if all of several pools have weight 0
 */
export function choosePool(shares: readonly PoolShare[], randomNumber: number): string | undefined {
	if (shares.length === 1) {
		return shares[0]!.pool;
	}

	const totalWeight = shares.reduce((sum, {weight}) => sum + weight, 0);
	let remainingWeight = randomNumber * totalWeight;
	for (const {pool, weight} of shares) {
		remainingWeight -= weight;
		if (remainingWeight < 0) {
			return pool;
		}
	}

	return undefined;
}
