/**
 * Load of the placement bench: an open loop of chats whose prompts consist of a
 * preamble of the customer, a dossier and a question. Arrivals follow a Poisson
 * process. The popularity of dossiers follows Zipf's law, and the popular
 * dossiers change at a fixed interval.
 */
import {createRandom, type ChatMessage, type Random} from '#core';

/** One request of the load. */
export type LoadRequest = Readonly<{
	atMs: number;
	customer: string;
	messages: readonly ChatMessage[];
	maxTokens: number;
	/** Position of the router in the list of routers, as a fraction from 0 to 1. */
	routerFraction: number;
}>;

/** Options of {@link createLoad}. */
export type LoadOptions = Readonly<{
	seed: number;
	durationMs: number;
	requestsPerSecond: number;
	/** Dossiers of a large customer; a small customer has a third of them. */
	dossiers: number;
	/** Time between changes of the popular dossiers. */
	shiftIntervalMs: number;
}>;

type CustomerShare = Readonly<{name: string; share: number; dossierShare: number}>;

const charsPerToken = 4;
const pieceTokens = 2000;
const preamblePieces = 2;
const minDossierPieces = 2;
const maxDossierPieces = 4;
const minQuestionTokens = 50;
const maxQuestionTokens = 350;
const maxAnswerTokens = 32;

/** Eight customers, three of them large. */
export const customers: readonly CustomerShare[] = [
	{name: 'large-a', share: 0.3, dossierShare: 1},
	{name: 'large-b', share: 0.25, dossierShare: 1},
	{name: 'large-c', share: 0.2, dossierShare: 1},
	...['small-a', 'small-b', 'small-c', 'small-d', 'small-e'].map(name => ({name, share: 0.05, dossierShare: 1 / 3})),
];

/** Creates all requests of a run, in order of time. */
export function createLoad(options: LoadOptions): readonly LoadRequest[] {
	const random = createRandom(options.seed);
	const texts = new Map<string, string>();
	const requests: LoadRequest[] = [];
	for (let atMs = 0; atMs < options.durationMs; atMs += -Math.log(1 - random.next()) * 1000 / options.requestsPerSecond) {
		requests.push(createRequest({atMs, random, texts}, options));
	}

	return requests;
}

function createRequest({atMs, random, texts}: Readonly<{atMs: number; random: Random; texts: Map<string, string>}>, options: LoadOptions): LoadRequest {
	const customer = chooseCustomer(random);
	const count = Math.max(1, Math.round(options.dossiers * customer.dossierShare));
	// Each interval moves the popularity ranks by 7 dossiers.
	const shift = Math.floor(atMs / options.shiftIntervalMs) * 7;
	const dossier = (chooseZipfRank(random, count) + shift) % count;
	const dossierPieces = minDossierPieces + (dossier % (maxDossierPieces - minDossierPieces + 1));
	const questionTokens = minQuestionTokens + random.integerBelow(maxQuestionTokens - minQuestionTokens);
	return {
		atMs, customer: customer.name, maxTokens: maxAnswerTokens, routerFraction: random.next(),
		messages: [
			{role: 'system', content: getOrCreateText(texts, `preamble of ${customer.name}`, preamblePieces)},
			{role: 'user', content: getOrCreateText(texts, `dossier ${dossier} of ${customer.name}`, dossierPieces)},
			{role: 'user', content: `question ${random.createId()} `.padEnd(questionTokens * charsPerToken, 'og ')},
		],
	};
}

function chooseCustomer(random: Random): CustomerShare {
	let remaining = random.next();
	for (const customer of customers) {
		remaining -= customer.share;
		if (remaining < 0) {
			return customer;
		}
	}

	return customers[0]!;
}

/** Chooses a rank below `count` with probability proportional to 1/(rank + 1), by inversion of the cumulative distribution. */
function chooseZipfRank(random: Random, count: number): number {
	let total = 0;
	for (let rank = 1; rank <= count; rank++) {
		total += 1 / rank;
	}

	let remaining = random.next() * total;
	for (let rank = 1; rank <= count; rank++) {
		remaining -= 1 / rank;
		if (remaining < 0) {
			return rank - 1;
		}
	}

	return count - 1;
}

function getOrCreateText(texts: Map<string, string>, label: string, pieces: number): string {
	let text = texts.get(label);
	if (text === undefined) {
		text = `${label}, `.repeat(Math.ceil(pieces * pieceTokens * charsPerToken / (label.length + 2))).slice(0, pieces * pieceTokens * charsPerToken);
		texts.set(label, text);
	}

	return text;
}
