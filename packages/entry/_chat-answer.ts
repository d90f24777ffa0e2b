/** Sends the answer to a chat request, as server-sent events or as one JSON body. */
import type {Response} from 'express';
import {sendRefusal, encodeRefusal} from './_refusal.ts';
import {writeWithBackpressure, type WriteOptions} from './_write-with-backpressure.ts';
import type {AnswerEvent, ToolCall, Usage} from '#core';

/** Decodes bytes that may end inside a character. */
type Decoder = InstanceType<typeof TextDecoder>;

type Head = Extract<AnswerEvent, {kind: 'head'}>;

/**
 * Streams an answer. Only a complete one closes with `[DONE]` and a clean end
 * of the body; a failure after the first byte sends an error event and then
 * aborts the connection.
 */
export async function sendChatStream(res: Response, model: string, events: AsyncIterable<AnswerEvent>, options: WriteOptions): Promise<void> {
	const decoder = new TextDecoder('utf-8', {ignoreBOM: true});
	for await (const event of events) {
		if (res.destroyed) {
			return;
		}

		if (event.kind === 'refused' && !res.headersSent) {
			sendRefusal(res, event.refusal);
			return;
		}

		if (event.kind === 'head') {
			res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store', ...encodeHeaders(event)});
			continue;
		}

		for (const body of encodeChunks(event, model, decoder)) {
			await writeWithBackpressure(res, `data: ${body}\n\n`, options);
		}

		if (event.kind === 'end') {
			res.end();
			return;
		}
	}

	abortAfterWrites(res, options);
}

/** Collects an answer and sends it as one JSON body. */
export async function sendChatJson(res: Response, model: string, events: AsyncIterable<AnswerEvent>): Promise<void> {
	const decoder = new TextDecoder('utf-8', {ignoreBOM: true});
	const tools: ToolCall[] = [];
	let text = '';
	let usage: Usage | undefined;
	for await (const event of events) {
		switch (event.kind) {
			case 'head': {
				res.set(encodeHeaders(event));
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
				const message = {role: 'assistant', content: text, ...(tools.length > 0 ? {tool_calls: tools.map(call => encodeToolCall(call))} : {})};
				const choices = [{index: 0, message, finish_reason: event.finish}];
				res.json({
					object: 'chat.completion', model, choices, usage: usage ? encodeUsage(usage) : undefined,
				});
				return;
			}
		}
	}

	res.destroy();
}

function encodeHeaders(head: Head): Readonly<Record<string, string>> {
	return {'x-target': head.target, 'x-cached-tokens': String(head.cachedTokens), ...(head.isReplayed ? {'x-replayed': '1'} : {})};
}

function encodeChunks(event: AnswerEvent, model: string, decoder: Decoder): readonly string[] {
	const encodeChunk = (delta: unknown, finish?: string) =>
		JSON.stringify({object: 'chat.completion.chunk', model, choices: [{index: 0, delta, finish_reason: finish ?? null}]});
	switch (event.kind) {
		case 'data': {
			const content = decoder.decode(event.bytes, {stream: true});
			return content === '' ? [] : [encodeChunk({content})];
		}

		case 'tool': {
			return [encodeChunk({tool_calls: [encodeToolCall(event.call)]})];
		}

		case 'usage': {
			return [JSON.stringify({
				object: 'chat.completion.chunk', model, choices: [], usage: encodeUsage(event.usage),
			})];
		}

		case 'end': {
			return [encodeChunk({}, event.finish), '[DONE]'];
		}

		case 'refused': {
			return [JSON.stringify(encodeRefusal(event.refusal))];
		}

		case 'head': {
			return [];
		}
	}
}

function encodeToolCall(call: ToolCall): unknown {
	return {
		index: call.index, id: call.id, type: 'function', function: {name: call.name, arguments: call.arguments},
	};
}

function encodeUsage(usage: Usage): unknown {
	return {
		prompt_tokens: usage.promptTokens, completion_tokens: usage.completionTokens,
		total_tokens: usage.promptTokens + usage.completionTokens, prompt_tokens_details: {cached_tokens: usage.cachedTokens},
	};
}

/** Aborts the connection without ending the body, once all written data has been flushed or `stallTimeoutMs` has passed. */
function abortAfterWrites(res: Response, {clock, stallTimeoutMs}: WriteOptions): void {
	if (res.destroyed || !res.headersSent) {
		res.destroy();
		return;
	}

	const cancel = clock.setTimer(stallTimeoutMs, () => {
		res.destroy();
	});
	// The callback of a last write runs after all earlier data has been flushed.
	res.write('\n', () => {
		cancel();
		res.destroy();
	});
}
