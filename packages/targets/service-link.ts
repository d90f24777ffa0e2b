/** The adapter to plain services: forwards the caller's call and returns its answer as bytes. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {
	createHttpLink, createFaultFrame, createRefusalFrame, findHeaderValue, requestJson, readRetryAfterMs, loadReportSchema, type HttpLink,
} from './_http-link.ts';
import type {HttpConnectorOptions} from './http-connector.ts';
import {
	fail, type Target, type TargetCall, type TargetFrame, type TargetLink,
} from '#core';

/** Creates the handle to one member of a plain service. */
export function createServiceLink(target: Target, options: HttpConnectorOptions): TargetLink {
	const link = createHttpLink(target.address, options);
	return {
		run: (call, signal) => runServiceCall(link, call, signal),
		readReport: async signal => requestJson(link, loadReportSchema, {method: 'GET', path: '/report', signal}),
		readCacheEvents: async () => fail({outcome: 'refused', detail: 'a plain service has no prefix cache'}),
		sendOrder: async () => fail({outcome: 'refused', detail: 'a plain service accepts no orders'}),
		close: async () => link.pool.close(),
	};
}

async function * runServiceCall(link: HttpLink, call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
	const {work} = call;
	if (work.kind !== 'call') {
		yield {kind: 'fault', outcome: 'refused', detail: 'a plain service accepts only service calls'};
		return;
	}

	const newConnection = call.shouldUseNewConnection ? link.openNewConnection() : undefined;
	try {
		const response = await (newConnection ?? link.pool).request({
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
		yield * readAnswer(call, work.method, response);
	} catch (error) {
		yield createFaultFrame(error);
	} finally {
		await newConnection?.destroy();
	}
}

async function * readAnswer({attemptId, shouldUseNewConnection}: TargetCall, method: string, response: Dispatcher.ResponseData): AsyncGenerator<TargetFrame> {
	const {headers, statusCode: status} = response;
	if (findHeaderValue(headers, 'x-not-run') === '1') {
		await response.body.dump();
		yield createRefusalFrame({
			attemptId, statedId: findHeaderValue(headers, 'x-attempt-id'), isNewConnection: shouldUseNewConnection,
			detail: `service answered with status ${status} and did not run the request`, retryAfterMs: readRetryAfterMs(headers),
		});
		return;
	}

	yield {
		kind: 'head', attemptId: findHeaderValue(headers, 'x-attempt-id') ?? attemptId, status, contentType: findHeaderValue(headers, 'content-type'),
		incarnation: findHeaderValue(headers, 'x-incarnation') ?? '', promptTokens: 0, cachedTokens: 0,
	};
	let offset = 0;
	for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
		yield {
			kind: 'data', attemptId, offset, bytes: chunk,
		};
		offset += chunk.length;
	}

	const truncation = findTruncation(headers, hasBody(method, status), offset);
	yield truncation === undefined ? {kind: 'end', attemptId, finish: 'stop'} : {kind: 'fault', outcome: 'unknown', detail: truncation};
}

/** Returns whether an answer with this method and status has a body (RFC 9112, section 6.3). */
function hasBody(method: string, status: number): boolean {
	return method !== 'HEAD' && status !== 204 && status !== 304;
}

/** Returns why an answer may be truncated, or `undefined` if it is complete. Without a stated length or a chunked body, it cannot be told whether all of it arrived. */
function findTruncation(headers: IncomingHttpHeaders, shouldHaveBody: boolean, receivedBytes: number): string | undefined {
	if (!shouldHaveBody) {
		return undefined;
	}

	const length = findHeaderValue(headers, 'content-length');
	if (length !== undefined) {
		return Number(length) === receivedBytes ? undefined : `the answer closed after ${receivedBytes} of ${length} bytes`;
	}

	return findHeaderValue(headers, 'transfer-encoding') === undefined ? 'the answer states neither its length nor a chunked body' : undefined;
}
