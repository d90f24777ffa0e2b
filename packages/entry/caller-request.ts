/** A caller's request as the entry passes it to the node: parsed but not yet authenticated. */
import * as z from 'zod';
import {
	fail, createRefusal, succeed, type Refusal, type Result, type Work,
} from '#core';

export type CallerRequest = Readonly<{
	/** Name of the route. */
	route: string;
	/** Value of the `Authorization` header. */
	authorization?: string;
	idempotencyKey?: string;
	work: Work;
}>;

const maxMessages = 4096;
const maxNestingDepth = 32;
const defaultMaxTokens = 256;

const contentSchema = z.union([
	z.string(),
	z.array(z.looseObject({type: z.literal('text'), text: z.string()})).transform(parts => parts.map(part => part.text).join('')),
]);

const chatSchema = z.looseObject({
	model: z.string().min(1).max(200),
	messages: z.array(z.looseObject({role: z.string().min(1).max(64), content: contentSchema})).min(1).max(maxMessages),
	stream: z.boolean().default(false),
	max_tokens: z.number().int().min(1).max(1_000_000).default(defaultMaxTokens),
});

/** The checked body of a chat completion request. Its `model` field names the route. */
export type ChatBody = Readonly<{route: string; stream: boolean; work: Work}>;

/** Checks and parses the body of a chat completion request. */
export function parseChatBody(body: unknown): Result<ChatBody, Refusal> {
	if (isNestedDeeper(body, maxNestingDepth)) {
		return fail(createRefusal('bad_request', {detail: `The body is nested deeper than ${maxNestingDepth} levels.`}));
	}

	const parsed = chatSchema.safeParse(body);
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		return fail(createRefusal('bad_request', {detail: `Field "${issue.path.join('.')}": ${issue.message}.`}));
	}

	const {model, messages, stream, max_tokens: maxTokens, ...extra} = parsed.data;
	return succeed({
		route: model, stream,
		work: {
			kind: 'chat', messages: messages.map(({role, content}) => ({role, content})), maxTokens, extra,
		},
	});
}

/** Returns whether a parsed JSON value is nested deeper than `maxDepth`. It walks level by level, so that deep nesting does not overflow the stack. */
function isNestedDeeper(value: unknown, maxDepth: number): boolean {
	let level = [value];
	for (let depth = 0; level.length > 0; depth++) {
		if (depth > maxDepth) {
			return true;
		}

		level = level.flatMap(item => typeof item === 'object' && item !== null ? Object.values(item) as unknown[] : []);
	}

	return false;
}
