/** Sends the requests of a load run to an instance over HTTP. */
import {createParser} from 'eventsource-parser';
import {Pool} from 'undici';
import type {LoadOutcome} from './report.ts';
import type {LoadSender} from './run-load.ts';
import type {Clock} from '#clock';

/** Options of {@link createHttpSender}. */
export type HttpSenderOptions = Readonly<{
	/** Origin of the instance or load balancer, such as `http://10.0.0.1:8080`. */
	origin: string;
	route: string;
	clock: Clock;
	/** Maximum number of open connections. Default: 512. */
	maxConnections?: number;
}>;

/** Approximate number of characters in a token, as in `workload.ts`. */
const charsPerToken = 4;

/** Creates a sender that records when the first token and the end of each response arrive at the caller. */
export function createHttpSender({origin, route, clock, maxConnections = 512}: HttpSenderOptions): LoadSender {
	const pool = new Pool(origin, {connections: maxConnections});
	return async ({customer, messages, maxTokens}, signal) => {
		const promptTokens = messages.reduce((sum, {content}) => sum + Math.ceil(content.length / charsPerToken), 0);
		let cachedTokens = 0;
		let target: string | undefined;
		let firstTokenAtMs: number | undefined;
		const createOutcome = (result: string): LoadOutcome => ({
			result, endAtMs: clock.now(), cachedTokens, promptTokens, target, firstTokenAtMs,
		});
		try {
			const response = await pool.request({
				method: 'POST', path: '/v1/chat/completions', signal,
				headers: {'content-type': 'application/json', authorization: `Bearer ${customer.key}`},
				body: JSON.stringify({
					model: route, messages, max_tokens: maxTokens, stream: true,
				}),
			});
			if (response.statusCode !== 200) {
				return createOutcome(findErrorCode(await response.body.text()) ?? `status_${response.statusCode}`);
			}

			cachedTokens = Number(response.headers['x-cached-tokens'] ?? 0);
			target = String(response.headers['x-target'] ?? '');
			let result = 'incomplete';
			const parser = createParser({
				onEvent({data}) {
					firstTokenAtMs ??= clock.now();
					result = data === '[DONE]' ? 'answered' : (findErrorCode(data) ?? result);
				},
			});
			const decoder = new TextDecoder();
			for await (const chunk of response.body) {
				parser.feed(decoder.decode(chunk as Uint8Array, {stream: true})); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- undici's body yields bytes
			}

			return createOutcome(result);
		} catch {
			return createOutcome(signal.aborted ? 'abandoned' : 'connection_failed');
		}
	};
}

/** Finds the code in the JSON text of an error, in which `code` is the first field of `error`. */
function findErrorCode(text: string): string | undefined {
	return /"error":\{"code":"(?<code>\w+)"/v.exec(text)?.groups?.code;
}
