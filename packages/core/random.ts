/** Random numbers: seeded ones over `pure-rand`, so that a run can be repeated, and the system's own for identifiers. */
import {randomBytes, randomInt} from 'node:crypto';
import {mersenne, unsafeUniformIntDistribution} from 'pure-rand';

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
const seedBound = 2 ** 31;
const idBytes = 16;

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
	const generator = mersenne(seed);
	const below = (bound: number) => unsafeUniformIntDistribution(0, bound - 1, generator);
	const word = () => below(2 ** 32).toString(16).padStart(8, '0');
	return {
		next: () => below(unitSteps) / unitSteps,
		below,
		id: () => word() + word() + word() + word(),
	};
}

/**
 * Creates the generator of a process in production: choices from a random seed,
 * identifiers from the system's secure source, so that no two processes ever
 * share one.
 */
export function createSystemRandom(): Random {
	return {
		...createRandom(randomInt(seedBound)),
		id: () => randomBytes(idBytes).toString('hex'),
	};
}
