/** Results of a stand-in as HTTP answers. */
import type {Response} from 'express';
import type {Result, TargetFailure} from '#core';
import type {StoreFailure} from '#object-store';

/** Largest body that a stand-in's server reads. */
export const bodyLimit = '4mb';

const failureStatus: Readonly<Record<StoreFailure['kind'], number | undefined>> = {
	conflict: 409,
	gone: 410,
	too_large: 413,
	rate_limited: 429,
	unavailable: 503,
	unknown: undefined,
};

/** Sends a platform's result; a lost answer closes the connection. */
export function sendPlatformResult<Value>(res: Response, result: Result<Value, StoreFailure>): void {
	if (result.ok) {
		res.json(result.value ?? {});
		return;
	}

	const status = failureStatus[result.error.kind];
	if (status === undefined) {
		res.destroy();
		return;
	}

	res.status(status).json({detail: result.error.detail});
}

/** Sends a target's result; any failure closes the connection. */
export function sendTargetResult<Value>(res: Response, result: Result<Value, TargetFailure>): void {
	if (result.ok) {
		res.json(result.value);
		return;
	}

	res.destroy();
}
