/** Classifies the errors with which a call to an object store over HTTP fails before its answer is complete. */
import type {StoreFailure} from './object-store.ts';

/** Codes of errors of the client and of the operating system that mean that an open connection has ended. */
const endedConnectionCodes: ReadonlySet<unknown> = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']);

/** @param isWatch whether the call waits for changes, so that its connection may be ended at any time */
export function classifyCallError(error: unknown, isWatch: boolean): StoreFailure['kind'] {
	const code = error instanceof Error && 'code' in error ? error.code : undefined;
	if (code === 'ECONNREFUSED') {
		return 'unavailable';
	}

	return isWatch && endedConnectionCodes.has(code) ? 'interrupted' : 'unknown';
}
