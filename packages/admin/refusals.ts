/** Every reason for which the administration API refuses a request. */

type AdminRefusalRule = Readonly<{
	/** HTTP status code. */
	status: number;
	message: string;
}>;

/** HTTP status and message by reason. */
export const adminRefusalRules = {
	admin_unauthenticated: {status: 401, message: 'The operator\'s bearer token is missing or unknown.'},
	admin_no_operators: {status: 403, message: 'No operator is configured: set operatorTokenDigests in this instance\'s settings.'},
	admin_bad_request: {status: 400, message: 'The request is malformed.'},
	admin_body_too_large: {status: 413, message: 'The body is larger than the administration API accepts; publish fewer services at once.'},
	admin_unknown_path: {status: 404, message: 'The administration API has no such path.'},
	admin_not_configured: {status: 503, message: 'This instance has no configuration yet.'},
	admin_configuration_invalid: {status: 422, message: 'The configuration has faults; nothing was published.'},
	admin_configuration_conflict: {status: 409, message: 'Another operator changed the service since the base; nothing was published.'},
	admin_platform_unavailable: {status: 503, message: 'The platform did not accept the configuration.'},
	admin_outcome_unknown: {status: 504, message: 'The platform\'s answer was lost; the configuration may be in force. Read the status before publishing again.'},
	admin_explain_refused: {status: 422, message: 'The request would be refused.'},
} as const satisfies Readonly<Record<string, AdminRefusalRule>>;

/** Code of a refusal, sent in the response and used as the label value of its counter. Codes do not change between versions. */
export type AdminRefusalReason = keyof typeof adminRefusalRules;

/** A refusal of a request to the administration API. */
export type AdminRefusal = Readonly<{
	reason: AdminRefusalReason;
	/** Appended to the rule's message. */
	detail?: string;
	/** Fields of the error object in addition to code and message. */
	extra?: Readonly<Record<string, unknown>>;
}>;
