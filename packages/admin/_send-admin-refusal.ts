/** Sends refusals of the administration API as JSON. */
import type {Response} from 'express';
import {adminRefusalRules, type AdminRefusal} from './refusals.ts';
import {finishResponse} from '#http';
import type {Telemetry} from '#telemetry';

/** Counts a refusal and sends it as the response. */
export function sendAdminRefusal(res: Response, telemetry: Telemetry, refusal: AdminRefusal): void {
	const {reason, detail, extra} = refusal;
	const {status, message} = adminRefusalRules[reason];
	telemetry.count('admin_refusals_total', {reason});
	res.status(status).set('content-type', 'application/json; charset=utf-8');
	finishResponse(res, JSON.stringify({error: {code: reason, message: detail ? `${message} ${detail}` : message, ...extra}}));
}
