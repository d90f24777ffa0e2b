/** An answer's events as the record keeps them, and back. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {KeptAnswer} from './record.ts';
import {makeRefusal, type AnswerEvent} from '#core';

/** Largest answer kept whole, in bytes. */
export const maxKeptBytes = 65_536;

/** Packs the events of a complete answer. */
export function buildKeptAnswer(events: readonly AnswerEvent[]): KeptAnswer {
	const head = events.find(event => event.kind === 'head');
	const bytes = Buffer.concat(events.flatMap(event => event.kind === 'data' ? [event.bytes] : []));
	const tools = events.flatMap(event => event.kind === 'tool' ? [event.call] : []);
	const size = bytes.length + JSON.stringify(tools).length;
	return {
		target: head?.target ?? '',
		status: head?.status ?? 200,
		contentType: head?.contentType,
		cachedTokens: head?.cachedTokens ?? 0,
		body: size <= maxKeptBytes ? bytes.toString('base64') : undefined,
		digest: createHash('sha256').update(bytes).digest('hex'),
		tools: size <= maxKeptBytes ? tools : [],
		usage: events.findLast(event => event.kind === 'usage')?.usage,
		finish: events.findLast(event => event.kind === 'end')?.finish ?? 'stop',
	};
}

/** Unpacks a kept answer into the events that a re-send gets. */
export function readKeptAnswer(answer: KeptAnswer): readonly AnswerEvent[] {
	if (answer.body === undefined) {
		const detail = `SHA-256 of the answer: ${answer.digest}.`;
		return [{kind: 'refused', refusal: makeRefusal('answer_not_kept', {detail})}];
	}

	const {target, status, contentType, cachedTokens} = answer;
	const bytes = Buffer.from(answer.body, 'base64');
	return [
		{
			kind: 'head', target, status, contentType, cachedTokens, replayed: true,
		},
		...(bytes.length > 0 ? [{kind: 'data', bytes} as const] : []),
		...answer.tools.map(call => ({kind: 'tool', call} as const)),
		...(answer.usage ? [{kind: 'usage', usage: answer.usage} as const] : []),
		{kind: 'end', finish: answer.finish},
	];
}
