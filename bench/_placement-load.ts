/**
 * The load of the placement bench: an open loop of chats whose prompts nest a
 * customer's preamble, a dossier and a question. Arrivals follow a Poisson
 * process; dossiers follow Zipf's law, and which ones are hot shifts.
 */
import {createRandom, type ChatMessage, type Random} from '#core';

/** One request of the load. */
export type LoadRequest = Readonly<{
	atMs: number;
	customer: string;
	messages: readonly ChatMessage[];
	maxTokens: number;
	/** Chooses the router, as the balancer does. */
	pick: number;
}>;

/** Options of {@link makeLoad}. */
export type LoadOptions = Readonly<{
	seed: number;
	durationMs: number;
	requestsPerSecond: number;
	/** Dossiers of a large customer; a small one has a third. */
	dossiers: number;
	/** Time between shifts of the hot dossiers. */
	shiftEveryMs: number;
}>;

type CustomerShare = Readonly<{name: string; share: number; dossierShare: number}>;

const charsPerToken = 4;
const pieceTokens = 2000;
const preamblePieces = 2;
const leastDossierPieces = 2;
const mostDossierPieces = 4;
const leastQuestionTokens = 50;
const mostQuestionTokens = 350;
const maxAnswerTokens = 32;

/** Eight customers, three of them large. */
export const customers: readonly CustomerShare[] = [
	{name: 'large-a', share: 0.3, dossierShare: 1},
	{name: 'large-b', share: 0.25, dossierShare: 1},
	{name: 'large-c', share: 0.2, dossierShare: 1},
	...['small-a', 'small-b', 'small-c', 'small-d', 'small-e'].map(name => ({name, share: 0.05, dossierShare: 1 / 3})),
];

/** Makes all requests of a run, in order of time. */
export function makeLoad(options: LoadOptions): readonly LoadRequest[] {
	const random = createRandom(options.seed);
	const texts = new Map<string, string>();
	const requests: LoadRequest[] = [];
	for (let atMs = 0; atMs < options.durationMs; atMs += -Math.log(1 - random.next()) * 1000 / options.requestsPerSecond) {
		requests.push(makeRequest({atMs, random, texts}, options));
	}

	return requests;
}

function makeRequest({atMs, random, texts}: Readonly<{atMs: number; random: Random; texts: Map<string, string>}>, options: LoadOptions): LoadRequest {
	const customer = pickCustomer(random);
	const count = Math.max(1, Math.round(options.dossiers * customer.dossierShare));
	const shift = Math.floor(atMs / options.shiftEveryMs) * 7;
	const dossier = (pickZipf(random, count) + shift) % count;
	const dossierPieces = leastDossierPieces + (dossier % (mostDossierPieces - leastDossierPieces + 1));
	const questionTokens = leastQuestionTokens + random.below(mostQuestionTokens - leastQuestionTokens);
	return {
		atMs, customer: customer.name, maxTokens: maxAnswerTokens, pick: random.next(),
		messages: [
			{role: 'system', content: getText(texts, `preamble of ${customer.name}`, preamblePieces)},
			{role: 'user', content: getText(texts, `dossier ${dossier} of ${customer.name}`, dossierPieces)},
			{role: 'user', content: `question ${random.id()} `.padEnd(questionTokens * charsPerToken, 'og ')},
		],
	};
}

function pickCustomer(random: Random): CustomerShare {
	let rest = random.next();
	for (const customer of customers) {
		rest -= customer.share;
		if (rest < 0) {
			return customer;
		}
	}

	return customers[0]!;
}

/** Picks a rank below `count` with probability proportional to 1/(rank + 1), by rejection-free inversion of the harmonic sum. */
function pickZipf(random: Random, count: number): number {
	let total = 0;
	for (let rank = 1; rank <= count; rank++) {
		total += 1 / rank;
	}

	let rest = random.next() * total;
	for (let rank = 1; rank <= count; rank++) {
		rest -= 1 / rank;
		if (rest < 0) {
			return rank - 1;
		}
	}

	return count - 1;
}

function getText(texts: Map<string, string>, label: string, pieces: number): string {
	let text = texts.get(label);
	if (text === undefined) {
		text = `${label}, `.repeat(Math.ceil(pieces * pieceTokens * charsPerToken / (label.length + 2))).slice(0, pieces * pieceTokens * charsPerToken);
		texts.set(label, text);
	}

	return text;
}
