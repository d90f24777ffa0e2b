/** Random numbers: seeded generators by `pure-rand` for reproducible runs, and the system's secure source for identifiers in production. */
import {randomBytes, randomInt} from 'node:crypto';
import {mersenne, unsafeUniformIntDistribution} from 'pure-rand';

/** A source of pseudo-random numbers. Not for secrets. */
export type Random = Readonly<{
	/** A number in [0, 1). */
	next(): number;
	/** An integer in [0, bound). */
	integerBelow(bound: number): number;
	/** A string of 32 hexadecimal digits. */
	createId(): string;
}>;

/** Number of different values that `next` can return. */
const fractionSteps = 2 ** 30;
const seedBound = 2 ** 31;
const idBytes = 16;

/**
 * Creates a generator.
 *
 * @param seed any integer; the same seed gives the same numbers
 * @example
 * ```ts
 * const random = createRandom(42);
 * random.integerBelow(6);
 * ```
 */
export function createRandom(seed: number): Random {
	const generator = mersenne(seed);
	const drawInteger = (bound: number) => unsafeUniformIntDistribution(0, bound - 1, generator);
	const drawHexWord = () => drawInteger(2 ** 32).toString(16).padStart(8, '0');
	return {
		next: () => drawInteger(fractionSteps) / fractionSteps,
		integerBelow: drawInteger,
		createId: () => drawHexWord() + drawHexWord() + drawHexWord() + drawHexWord(),
	};
}

/**
 * Creates the generator of a process in production. Its numbers come from a
 * random seed. Its identifiers come from the system's secure source, so that no
 * two processes ever share one.
 */
export function createSystemRandom(): Random {
	return {
		...createRandom(randomInt(seedBound)),
		createId: () => randomBytes(idBytes).toString('hex'),
	};
}
