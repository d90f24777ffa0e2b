/** Creates the text that a stand-in engine generates. The same prompt gives the same text on every engine. */
import {
	createRandom, hash64, type ChatWork, type Work,
} from '#core';

const words = ['måler', 'lager', 'segl', 'plombe', 'kalibrering', 'forsendelse', 'né', 'contrôle', 'slachthuis', 'zertifikat', 'lot', 'ok', '✓'];

/** Counts the tokens of the stand-in's answer to a request: from half of `maxTokens` up to `maxTokens`, depending on the last message. */
export function countAnswerTokens(work: ChatWork): number {
	const seed = hashText(work.messages.at(-1)?.content ?? '');
	const minTokens = Math.max(1, Math.floor(work.maxTokens / 2));
	return minTokens + (seed % Math.max(1, work.maxTokens - minTokens + 1));
}

/**
 * Creates the whole answer to a request.
 *
 * @returns one UTF-8 slice per token; a slice may end inside a character
 */
export function createAnswerSlices(work: Work): readonly Uint8Array[] {
	if (work.kind !== 'chat') {
		return [];
	}

	const count = countAnswerTokens(work);
	const random = createRandom(hashText(work.messages.map(message => message.content).join('\n')));
	const text: string[] = [];
	for (let index = 0; index < count; index++) {
		text.push(words[random.integerBelow(words.length)]!);
	}

	const bytes = new TextEncoder().encode(text.join(' '));
	const size = Math.max(1, Math.ceil(bytes.length / count));
	return Array.from({length: Math.ceil(bytes.length / size)}, (_, index) => bytes.subarray(index * size, (index + 1) * size));
}

/** Returns a 32-bit hash of the text. */
function hashText(text: string): number {
	return Number.parseInt(hash64(text).slice(0, 8), 16);
}
