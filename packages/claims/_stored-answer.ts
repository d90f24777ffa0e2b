/** Conversion between an answer's events and the form in which a claim record stores them. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {StoredAnswer} from './record.ts';
import {createRefusal, type AnswerEvent} from '#core';

/** Maximum size of an answer whose bytes and tool calls are stored. */
export const maxStoredAnswerBytes = 65_536;

/** Encodes the events of a complete answer. Omits its bytes and tool calls if they are too large to store. */
export function encodeStoredAnswer(events: readonly AnswerEvent[]): StoredAnswer {
	const head = events.find(event => event.kind === 'head');
	const bytes = Buffer.concat(events.flatMap(event => event.kind === 'data' ? [event.bytes] : []));
	const tools = events.flatMap(event => event.kind === 'tool' ? [event.call] : []);
	const size = bytes.length + JSON.stringify(tools).length;
	return {
		target: head?.target ?? '',
		status: head?.status ?? 200,
		contentType: head?.contentType,
		cachedTokens: head?.cachedTokens ?? 0,
		body: size <= maxStoredAnswerBytes ? bytes.toString('base64') : undefined,
		digest: createHash('sha256').update(bytes).digest('hex'),
		tools: size <= maxStoredAnswerBytes ? tools : [],
		usage: events.findLast(event => event.kind === 'usage')?.usage,
		finish: events.findLast(event => event.kind === 'end')?.finish ?? 'stop',
	};
}

/** Decodes a stored answer into the events that a re-send gets. Returns a refusal with the digest if the bytes were not stored. */
export function decodeStoredAnswer(answer: StoredAnswer): readonly AnswerEvent[] {
	if (answer.body === undefined) {
		const detail = `SHA-256 of the answer: ${answer.digest}.`;
		return [{kind: 'refused', refusal: createRefusal('answer_not_kept', {detail})}];
	}

	const {target, status, contentType, cachedTokens} = answer;
	const bytes = Buffer.from(answer.body, 'base64');
	return [
		{
			kind: 'head', target, status, contentType, cachedTokens, isReplayed: true,
		},
		...(bytes.length > 0 ? [{kind: 'data', bytes} as const] : []),
		...answer.tools.map(call => ({kind: 'tool', call} as const)),
		...(answer.usage ? [{kind: 'usage', usage: answer.usage} as const] : []),
		{kind: 'end', finish: answer.finish},
	];
}
