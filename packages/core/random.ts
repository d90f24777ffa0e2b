/** Seeded random numbers over `pure-rand`, so that every run can be repeated. */
import {xoroshiro128plus, unsafeUniformIntDistribution} from 'pure-rand';

/** A source of pseudo-random numbers. Not for secrets. */
export type Random = Readonly<{
	/** A number in [0, 1). */
	next(): number;
	/** An integer in [0, bound). */
	below(bound: number): number;
	/** A string of 32 hexadecimal digits. */
	id(): string;
}>;

const unitSteps = 2 ** 30;

/**
 * Creates a generator.
 *
 * @param seed any integer; the same seed gives the same numbers
 * @example
 * ```ts
 * const random = createRandom(42);
 * random.below(6);
 * ```
 */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	const below = (bound: number) => unsafeUniformIntDistribution(0, bound - 1, generator);
	const word = () => below(2 ** 32).toString(16).padStart(8, '0');
	return {
		next: () => below(unitSteps) / unitSteps,
		below,
		id: () => word() + word() + word() + word(),
	};
}
