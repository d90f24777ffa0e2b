/** The adapter to plain services: the caller's call is passed on, and its answer comes back as bytes. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {
	createHttpLink, makeFault, readJson, readRetryAfterMs, reportSchema, type HttpLink,
} from './_http.ts';
import type {HttpConnectorOptions} from './http-connector.ts';
import {
	fail, type Target, type TargetCall, type TargetFrame, type TargetLink,
} from '#core';

/** Creates the handle to one member of a plain service. */
export function createServiceLink(target: Target, options: HttpConnectorOptions): TargetLink {
	const link = createHttpLink(target.address, options);
	return {
		run: (call, signal) => runCall(link, call, signal),
		readReport: async signal => readJson(link, reportSchema, {method: 'GET', path: '/report', signal}),
		readCacheEvents: async () => fail({outcome: 'refused', detail: 'a plain service has no prefix cache'}),
		sendOrder: async () => fail({outcome: 'refused', detail: 'a plain service takes no orders'}),
		close: async () => link.pool.close(),
	};
}

async function * runCall(link: HttpLink, call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
	const {work} = call;
	if (work.kind !== 'call') {
		yield {kind: 'fault', outcome: 'refused', detail: 'a plain service takes calls only'};
		return;
	}

	const fresh = call.freshConnection ? link.openFresh() : undefined;
	try {
		const answer = await (fresh ?? link.pool).request({
			origin: link.origin,
			method: work.method,
			path: work.path,
			headers: {
				'x-attempt-id': call.attemptId, 'x-request-id': call.requestId, 'x-customer': call.customer,
				...(work.contentType ? {'content-type': work.contentType} : {}),
			},
			body: work.body.length > 0 ? work.body : null,
			signal,
		});
		yield * readAnswer(call.attemptId, work.method, answer);
	} catch (error) {
		yield makeFault(error);
	} finally {
		await fresh?.destroy();
	}
}

async function * readAnswer(attemptId: string, method: string, answer: Dispatcher.ResponseData): AsyncGenerator<TargetFrame> {
	const {headers, statusCode: status} = answer;
	if (readHeader(headers, 'x-not-run') === '1') {
		await answer.body.dump();
		yield {
			kind: 'fault', outcome: 'refused', detail: `service answered ${status}, not run`, retryAfterMs: readRetryAfterMs(headers),
		};
		return;
	}

	yield {
		kind: 'head', attemptId: readHeader(headers, 'x-attempt-id') ?? attemptId, status, contentType: readHeader(headers, 'content-type'),
		incarnation: readHeader(headers, 'x-incarnation') ?? '', promptTokens: 0, cachedTokens: 0,
	};
	let offset = 0;
	for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
		yield {
			kind: 'data', attemptId, offset, bytes: chunk,
		};
		offset += chunk.length;
	}

	const fault = findMissingEnd(headers, hasBody(method, status), offset);
	yield fault === undefined ? {kind: 'end', attemptId, finish: 'stop'} : {kind: 'fault', outcome: 'unknown', detail: fault};
}

/** Whether an answer has a body by its method and status (RFC 9112, section 6.3). */
function hasBody(method: string, status: number): boolean {
	return method !== 'HEAD' && status !== 204 && status !== 304;
}

/** Says why an answer cannot be known to be complete: its length must be stated, or its body chunked. */
function findMissingEnd(headers: IncomingHttpHeaders, expectsBody: boolean, received: number): string | undefined {
	if (!expectsBody) {
		return undefined;
	}

	const length = readHeader(headers, 'content-length');
	if (length !== undefined) {
		return Number(length) === received ? undefined : `the answer closed after ${received} of ${length} bytes`;
	}

	return readHeader(headers, 'transfer-encoding') === undefined ? 'the answer states no length' : undefined;
}

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}
