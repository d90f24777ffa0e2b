/** Writes the answer to a chat, as server-sent events or as one JSON body. */
import {once} from 'node:events';
import type {Response} from 'express';
import {sendRefusal, writeRefusal} from './_refusal.ts';
import type {AnswerEvent, ToolCall, Usage} from '#core';

/** Decodes bytes that may end inside a character. */
type Decoder = InstanceType<typeof TextDecoder>;

type Head = Extract<AnswerEvent, {kind: 'head'}>;

/**
 * Streams an answer. A complete one closes with `[DONE]`; a failure after the
 * first byte closes with an error event and no `[DONE]`.
 */
export async function sendChatStream(res: Response, model: string, events: AsyncIterable<AnswerEvent>): Promise<void> {
	const decoder = new TextDecoder();
	for await (const event of events) {
		if (event.kind === 'refused' && !res.headersSent) {
			sendRefusal(res, event.refusal);
			return;
		}

		if (event.kind === 'head') {
			res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store', ...writeHeadHeaders(event)});
			continue;
		}

		for (const body of writeChunks(event, model, decoder)) {
			await writeEvent(res, body);
		}

		if (event.kind === 'refused') {
			res.end();
			return;
		}
	}

	res.end();
}

/** Collects an answer and sends it in one body. */
export async function sendChatWhole(res: Response, model: string, events: AsyncIterable<AnswerEvent>): Promise<void> {
	const decoder = new TextDecoder();
	const tools: ToolCall[] = [];
	let text = '';
	let usage: Usage | undefined;
	for await (const event of events) {
		switch (event.kind) {
			case 'head': {
				res.set(writeHeadHeaders(event));
				break;
			}

			case 'data': {
				text += decoder.decode(event.bytes, {stream: true});
				break;
			}

			case 'tool': {
				tools.push(event.call);
				break;
			}

			case 'usage': {
				usage = event.usage;
				break;
			}

			case 'refused': {
				sendRefusal(res, event.refusal);
				return;
			}

			case 'end': {
				const message = {role: 'assistant', content: text, ...(tools.length > 0 ? {tool_calls: tools.map(call => writeTool(call))} : {})};
				const choices = [{index: 0, message, finish_reason: event.finish}];
				res.json({
					object: 'chat.completion', model, choices, usage: usage ? writeUsage(usage) : undefined,
				});
				return;
			}
		}
	}

	res.destroy();
}

function writeHeadHeaders(head: Head): Readonly<Record<string, string>> {
	return {'x-target': head.target, 'x-cached-tokens': String(head.cachedTokens)};
}

function writeChunks(event: AnswerEvent, model: string, decoder: Decoder): readonly string[] {
	const chunk = (delta: unknown, finish?: string) =>
		JSON.stringify({object: 'chat.completion.chunk', model, choices: [{index: 0, delta, finish_reason: finish ?? null}]});
	switch (event.kind) {
		case 'data': {
			const content = decoder.decode(event.bytes, {stream: true});
			return content === '' ? [] : [chunk({content})];
		}

		case 'tool': {
			return [chunk({tool_calls: [writeTool(event.call)]})];
		}

		case 'usage': {
			return [JSON.stringify({
				object: 'chat.completion.chunk', model, choices: [], usage: writeUsage(event.usage),
			})];
		}

		case 'end': {
			return [chunk({}, event.finish), '[DONE]'];
		}

		case 'refused': {
			return [JSON.stringify(writeRefusal(event.refusal))];
		}

		case 'head': {
			return [];
		}
	}
}

function writeTool(call: ToolCall): unknown {
	return {
		index: call.index, id: call.id, type: 'function', function: {name: call.name, arguments: call.arguments},
	};
}

function writeUsage(usage: Usage): unknown {
	return {
		prompt_tokens: usage.promptTokens, completion_tokens: usage.completionTokens,
		total_tokens: usage.promptTokens + usage.completionTokens, prompt_tokens_details: {cached_tokens: usage.cachedTokens},
	};
}

/** Writes one event, and waits while the caller reads too slowly. */
async function writeEvent(res: Response, data: string): Promise<void> {
	if (res.destroyed || res.write(`data: ${data}\n\n`)) {
		return;
	}

	const controller = new AbortController();
	const options = {signal: controller.signal};
	await Promise.race([once(res, 'drain', options), once(res, 'close', options)]);
	controller.abort();
}
