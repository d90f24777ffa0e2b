/** The adapter to plain services: the caller's call is passed on, and its answer comes back as bytes. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {
	createHttpLink, makeFault, readJson, reportSchema, type HttpLink,
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
		yield * readAnswer(call.attemptId, answer);
	} catch (error) {
		yield makeFault(error);
	} finally {
		await fresh?.destroy();
	}
}

async function * readAnswer(attemptId: string, answer: Dispatcher.ResponseData): AsyncGenerator<TargetFrame> {
	const {headers, statusCode: status} = answer;
	if (readHeader(headers, 'x-not-run') === '1') {
		await answer.body.dump();
		yield {kind: 'fault', outcome: 'refused', detail: `service answered ${status}, not run`};
		return;
	}

	const echoed = readHeader(headers, 'x-attempt-id') ?? '';
	const length = readHeader(headers, 'content-length');
	yield {
		kind: 'head', attemptId: echoed === '' ? attemptId : echoed, status, contentType: readHeader(headers, 'content-type'),
		incarnation: readHeader(headers, 'x-incarnation') ?? '', promptTokens: 0, cachedTokens: 0,
	};
	let offset = 0;
	for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
		yield {
			kind: 'data', attemptId, offset, bytes: chunk,
		};
		offset += chunk.length;
	}

	if (length !== undefined && Number(length) !== offset) {
		yield {kind: 'fault', outcome: 'unknown', detail: `the answer closed after ${offset} of ${length} bytes`};
		return;
	}

	yield {kind: 'end', attemptId, finish: 'stop'};
}

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}
