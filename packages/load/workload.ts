/**
 * A seeded workload: arrivals of a Poisson process, prompts whose prefixes are
 * nested in levels (preamble, dossier, question), dossiers whose popularity
 * follows Zipf's law and shifts, and a mix of customers.
 */
import {createRandom, type ChatMessage, type Random} from '#core';

/** A customer of the mix. */
export type LoadCustomer = Readonly<{
	name: string;
	/** Bearer key. */
	key: string;
	/** Share of the requests, relative to the other customers. */
	share: number;
}>;

/** Options of {@link createWorkload}. */
export type WorkloadOptions = Readonly<{
	seed: number;
	requestsPerSecond: number;
	customers: readonly LoadCustomer[];
	/** Tokens of the preamble that all of a customer's prompts share. Default: 4000. */
	preambleTokens?: number;
	/** Tokens of a dossier. Default: 6000. */
	dossierTokens?: number;
	/** Tokens of a question. Default: 60. */
	questionTokens?: number;
	/** Dossiers of each customer. Default: 40. */
	dossiers?: number;
	/** Exponent of Zipf's law over the dossiers. Default: 1.1. */
	skew?: number;
	/** Time after which other dossiers become the hot ones, in milliseconds. Default: 20 000. */
	shiftEveryMs?: number;
	/** Tokens asked for. Default: 32. */
	maxTokens?: number;
}>;

/** One request of the workload. */
export type LoadRequest = Readonly<{
	/** When it arrives, in milliseconds from the start. */
	atMs: number;
	customer: LoadCustomer;
	/** Number of the dossier within its customer. */
	dossier: number;
	messages: readonly ChatMessage[];
	maxTokens: number;
}>;

/** An endless sequence of requests; the same seed gives the same one. */
export type Workload = Readonly<{next(): LoadRequest}>;

const charsPerToken = 4;

/**
 * Creates a workload.
 *
 * @example
 * ```ts
 * const workload = createWorkload({seed: 1, requestsPerSecond: 20, customers: [{name: 'a', key: 'k', share: 1}]});
 * workload.next();
 * ```
 */
export function createWorkload(options: WorkloadOptions): Workload {
	const random = createRandom(options.seed);
	const count = options.dossiers ?? 40;
	const popularity = makeSums(Array.from({length: count}, (_, rank) => (rank + 1) ** -(options.skew ?? 1.1)));
	const shares = makeSums(options.customers.map(customer => customer.share));
	const texts = new Map<string, string>();
	let atMs = 0;
	let serial = 0;

	const getText = (name: string, tokens: number): string => {
		let text = texts.get(name);
		if (text === undefined) {
			text = writeFiller(name, tokens);
			texts.set(name, text);
		}

		return text;
	};

	return {
		next() {
			atMs += -Math.log(1 - random.next()) * 1000 / options.requestsPerSecond;
			const customer = options.customers[pickIndex(shares, random)]!;
			const shift = Math.floor(atMs / (options.shiftEveryMs ?? 20_000));
			const dossier = (pickIndex(popularity, random) + (shift * hotShiftStep)) % count;
			return {
				atMs, customer, dossier, maxTokens: options.maxTokens ?? 32,
				messages: [
					{role: 'system', content: getText(`preamble of ${customer.name}`, options.preambleTokens ?? 4000)},
					{role: 'user', content: getText(`dossier ${dossier} of ${customer.name}`, options.dossierTokens ?? 6000)},
					{role: 'user', content: writeFiller(`question ${serial++}`, options.questionTokens ?? 60)},
				],
			};
		},
	};
}

/** How far the ranks of the dossiers move at a shift. */
const hotShiftStep = 7;

function writeFiller(name: string, tokens: number): string {
	const sentence = `${name}: batch, seal and calibration record. `;
	return sentence.repeat(Math.ceil(tokens * charsPerToken / sentence.length)).slice(0, tokens * charsPerToken);
}

function makeSums(weights: readonly number[]): readonly number[] {
	let sum = 0;
	return weights.map(weight => {
		sum += weight;
		return sum;
	});
}

function pickIndex(sums: readonly number[], random: Random): number {
	const point = random.next() * sums.at(-1)!;
	const index = sums.findIndex(sum => point < sum);
	return index === -1 ? sums.length - 1 : index;
}
