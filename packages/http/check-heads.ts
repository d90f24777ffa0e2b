/** Checks the heads of answers to the requests of a client of HTTP. */
import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {explainHeadFault} from './head-fault.ts';

/** An interceptor of undici: a request fails if the head of its answer must not be used; its connection is closed then. */
export const checkHeads: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => dispatch(options, {
	onRequestStart(controller, context) {
		handler.onRequestStart?.(controller, context);
	},
	onRequestUpgrade(controller, status, headers, socket) {
		handler.onRequestUpgrade?.(controller, status, headers, socket);
	},
	onResponseStart(controller, status, headers, reason) {
		const fault = explainHeadFault(reason ?? '', decodeHeaderLines(controller.rawHeaders));
		if (fault === undefined) {
			handler.onResponseStart?.(controller, status, headers, reason);
		} else {
			controller.abort(new Error(fault));
		}
	},
	onResponseData(controller, bytes) {
		handler.onResponseData?.(controller, bytes);
	},
	onResponseEnd(controller, trailers) {
		handler.onResponseEnd?.(controller, trailers);
	},
	onResponseError(controller, error) {
		handler.onResponseError?.(controller, error);
	},
});

/** Decodes header lines as undici gives them: alternating names and values in Latin-1 (RFC 9110, section 5.5). */
export function decodeHeaderLines(raw: Dispatcher.DispatchController['rawHeaders']): readonly string[] {
	return Array.isArray(raw) ? raw.map(line => Buffer.isBuffer(line) ? line.toString('latin1') : line) : [];
}
