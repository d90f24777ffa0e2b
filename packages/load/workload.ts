/**
 * Generates a seeded workload for a mix of customers. Arrivals follow a Poisson
 * process. A prompt consists of a preamble that all requests of a customer
 * share, a dossier that some share, and a question of its own. The popularity of
 * the dossiers follows Zipf's law, and the most popular ones change over time.
 */
import {createRandom, type ChatMessage, type Random} from '#core';

/** A customer that sends part of the requests. */
export type LoadCustomer = Readonly<{
	name: string;
	/** Key that is sent as the bearer token. */
	key: string;
	/** Share of the requests, relative to the shares of the other customers. */
	share: number;
}>;

/** Options of {@link createWorkload}. */
export type WorkloadOptions = Readonly<{
	seed: number;
	requestsPerSecond: number;
	customers: readonly LoadCustomer[];
	/** Length of the preamble that all prompts of a customer share, in tokens. Default: 4000. */
	preambleTokens?: number;
	/** Length of a dossier, in tokens. Default: 6000. */
	dossierTokens?: number;
	/** Length of a question, in tokens. Default: 60. */
	questionTokens?: number;
	/** Number of dossiers of each customer. Default: 40. */
	dossiersPerCustomer?: number;
	/** Exponent of the Zipf distribution of the dossiers' popularity. Default: 1.1. */
	zipfExponent?: number;
	/** Time after which other dossiers become the most popular ones, in milliseconds. Default: 20 000. */
	shiftIntervalMs?: number;
	/** Maximum number of tokens that a request generates. Default: 32. */
	maxTokens?: number;
}>;

/** One request of the workload. */
export type LoadRequest = Readonly<{
	/** Scheduled arrival, in milliseconds from the start of the run. */
	arrivalMs: number;
	customer: LoadCustomer;
	/** Index of the dossier among those of the customer. */
	dossierIndex: number;
	messages: readonly ChatMessage[];
	maxTokens: number;
}>;

/** An endless sequence of requests; equal seeds give equal sequences. */
export type Workload = Readonly<{next(): LoadRequest}>;

/** Approximate number of characters in a token, as in `http-sender.ts`. */
const charsPerToken = 4;

/**
 * Creates a workload from a seed.
 *
 * @example
 * ```ts
 * const workload = createWorkload({seed: 1, requestsPerSecond: 20, customers: [{name: 'a', key: 'k', share: 1}]});
 * workload.next();
 * ```
 */
export function createWorkload(options: WorkloadOptions): Workload {
	const random = createRandom(options.seed);
	const dossiersPerCustomer = options.dossiersPerCustomer ?? 40;
	const popularitySums = computeCumulativeSums(Array.from({length: dossiersPerCustomer}, (_, rank) => (rank + 1) ** -(options.zipfExponent ?? 1.1)));
	const shareSums = computeCumulativeSums(options.customers.map(customer => customer.share));
	const texts = new Map<string, string>();
	let arrivalMs = 0;
	let questionCount = 0;

	const getText = (name: string, tokens: number): string => {
		let text = texts.get(name);
		if (text === undefined) {
			text = createFillerText(name, tokens);
			texts.set(name, text);
		}

		return text;
	};

	return {
		next() {
			arrivalMs += -Math.log(1 - random.next()) * 1000 / options.requestsPerSecond;
			const customer = options.customers[chooseWeightedIndex(shareSums, random)]!;
			const shiftCount = Math.floor(arrivalMs / (options.shiftIntervalMs ?? 20_000));
			const dossierIndex = (chooseWeightedIndex(popularitySums, random) + (shiftCount * ranksPerShift)) % dossiersPerCustomer;
			return {
				arrivalMs, customer, dossierIndex, maxTokens: options.maxTokens ?? 32,
				messages: [
					{role: 'system', content: getText(`preamble of ${customer.name}`, options.preambleTokens ?? 4000)},
					{role: 'user', content: getText(`dossier ${dossierIndex} of ${customer.name}`, options.dossierTokens ?? 6000)},
					{role: 'user', content: createFillerText(`question ${questionCount++}`, options.questionTokens ?? 60)},
				],
			};
		},
	};
}

/** Number of dossiers by which the order of popularity is rotated at a shift. */
const ranksPerShift = 7;

function createFillerText(name: string, tokens: number): string {
	const sentence = `${name}: batch, seal and calibration record. `;
	return sentence.repeat(Math.ceil(tokens * charsPerToken / sentence.length)).slice(0, tokens * charsPerToken);
}

function computeCumulativeSums(weights: readonly number[]): readonly number[] {
	let sum = 0;
	return weights.map(weight => {
		sum += weight;
		return sum;
	});
}

function chooseWeightedIndex(cumulativeSums: readonly number[], random: Random): number {
	const point = random.next() * cumulativeSums.at(-1)!;
	const index = cumulativeSums.findIndex(sum => point < sum);
	return index === -1 ? cumulativeSums.length - 1 : index;
}
