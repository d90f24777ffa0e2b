/** Sends the requests of a load run to an instance over HTTP. */
import {createParser} from 'eventsource-parser';
import {Pool} from 'undici';
import type {LoadOutcome} from './report.ts';
import type {LoadSender} from './run-load.ts';
import type {Clock} from '#clock';

/** Options of {@link createHttpSender}. */
export type HttpSenderOptions = Readonly<{
	/** Origin of the instance or balancer, such as `http://10.0.0.1:8080`. */
	origin: string;
	/** Route that is called. */
	route: string;
	clock: Clock;
	/** Connections kept open. Default: 512. */
	connections?: number;
}>;

const charsPerToken = 4;

/** Creates the sender; it measures the stream as a caller sees it. */
export function createHttpSender({origin, route, clock, connections = 512}: HttpSenderOptions): LoadSender {
	const pool = new Pool(origin, {connections});
	return async ({customer, messages, maxTokens}, signal) => {
		const promptTokens = messages.reduce((sum, {content}) => sum + Math.ceil(content.length / charsPerToken), 0);
		let cachedTokens = 0;
		let target: string | undefined;
		let firstTokenAtMs: number | undefined;
		const finish = (result: string): LoadOutcome => ({
			result, endAtMs: clock.now(), cachedTokens, promptTokens, target, firstTokenAtMs,
		});
		try {
			const answer = await pool.request({
				method: 'POST', path: '/v1/chat/completions', signal,
				headers: {'content-type': 'application/json', authorization: `Bearer ${customer.key}`},
				body: JSON.stringify({
					model: route, messages, max_tokens: maxTokens, stream: true,
				}),
			});
			if (answer.statusCode !== 200) {
				return finish(readCode(await answer.body.text()) ?? `status_${answer.statusCode}`);
			}

			cachedTokens = Number(answer.headers['x-cached-tokens'] ?? 0);
			target = String(answer.headers['x-target'] ?? '');
			let result = 'incomplete';
			const parser = createParser({
				onEvent({data}) {
					firstTokenAtMs ??= clock.now();
					result = data === '[DONE]' ? 'answered' : (readCode(data) ?? result);
				},
			});
			const decoder = new TextDecoder();
			for await (const chunk of answer.body) {
				parser.feed(decoder.decode(chunk as Uint8Array, {stream: true})); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- undici's body yields bytes
			}

			return finish(result);
		} catch {
			return finish(signal.aborted ? 'abandoned' : 'connection_failed');
		}
	};
}

function readCode(text: string): string | undefined {
	return /"error":\{"code":"(?<code>\w+)"/v.exec(text)?.groups?.code;
}
