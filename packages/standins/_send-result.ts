/** Sends the results of a stand-in as HTTP responses. */
import type {Response} from 'express';
import type {Result, TargetFailure} from '#core';
import type {StoreFailure} from '#object-store';

/** Maximum size of a request body that a stand-in's server accepts. */
export const maxBodySize = '4mb';

const statusByFailureKind: Readonly<Record<StoreFailure['kind'], number | undefined>> = {
	conflict: 409,
	epoch_changed: 409,
	gone: 410,
	too_large: 413,
	rate_limited: 429,
	unavailable: 503,
	interrupted: undefined,
	unknown: undefined,
};

/** Sends a platform's result. A failure with an unknown outcome closes the connection without a response. */
export function sendPlatformResult<Value>(res: Response, result: Result<Value, StoreFailure>): void {
	if (result.ok) {
		res.json(result.value ?? {});
		return;
	}

	const status = statusByFailureKind[result.error.kind];
	if (status === undefined) {
		res.destroy();
		return;
	}

	res.status(status).json({detail: result.error.detail});
}

/** Sends a target's result. Any failure closes the connection without a response. */
export function sendTargetResult<Value>(res: Response, result: Result<Value, TargetFailure>): void {
	if (result.ok) {
		res.json(result.value);
		return;
	}

	res.destroy();
}
