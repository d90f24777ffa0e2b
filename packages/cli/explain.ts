/** `apricotdoor explain`: shows which target a request would be sent to, and the estimated costs behind that choice. */
import {readFile} from 'node:fs/promises';
import * as z from 'zod';
import {sendAdminRequest, parseAdminError} from './_admin-client.ts';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {formatFileError} from './_fragments.ts';
import type {CommandIo} from './io.ts';
import {
	fail, succeed, getErrorMessage, type Result,
} from '#core';

/** Options of `apricotdoor explain`. */
export type ExplainOptions = Readonly<{
	admin: string;
	customer: string;
	route: string;
	messages?: string;
	json?: boolean;
}>;

const messagesSchema = z.array(z.object({role: z.string(), content: z.string()}));

/** An explanation. The estimated costs of a candidate are in its other fields, whose names end in `Ms`. */
const explanationSchema = z.object({
	generation: z.number(),
	pool: z.string(),
	promptTokens: z.number(),
	pieces: z.number(),
	ineligible: z.array(z.string()),
	candidates: z.array(z.looseObject({target: z.object({name: z.string(), zone: z.string()}), cachedTokens: z.number()})),
});

/** Requests the explanation from an instance and prints the candidates, best first. */
export async function runExplain(io: CommandIo, options: ExplainOptions): Promise<ExitCode> {
	const messages = await readMessages(options.messages);
	if (!messages.ok) {
		io.warn(messages.error);
		return exitCodes.usage;
	}

	const {admin: address, customer, route} = options;
	const response = await sendAdminRequest({
		address, token: io.environment.APRICOTDOOR_ADMIN_TOKEN ?? '', method: 'POST', path: '/explain',
		body: {customer, route, messages: messages.value},
	});
	if (!response.ok) {
		io.warn(response.error);
		return exitCodes.unreachable;
	}

	const parsed = explanationSchema.safeParse(response.value.body);
	if (response.value.status !== 200 || !parsed.success) {
		io.warn(parseAdminError(response.value).message);
		return exitCodes.failed;
	}

	if (options.json) {
		io.write(JSON.stringify(response.value.body));
	} else {
		printExplanation(io, parsed.data);
	}

	return exitCodes.ok;
}

async function readMessages(file: string | undefined): Promise<Result<z.infer<typeof messagesSchema>, string>> {
	if (file === undefined) {
		return succeed([]);
	}

	try {
		const parsed = messagesSchema.safeParse(JSON.parse(await readFile(file, 'utf8')));
		return parsed.success ? succeed(parsed.data) : fail(`${file}: must be a list of {"role": …, "content": …}`);
	} catch (error) {
		return fail(error instanceof SyntaxError ? `${file}: is not JSON: ${getErrorMessage(error)}` : formatFileError(error));
	}
}

function printExplanation(io: CommandIo, explanation: z.infer<typeof explanationSchema>): void {
	const {generation, pool, promptTokens, pieces, candidates, ineligible} = explanation;
	io.write(`pool ${pool}, generation ${generation}, prompt of ${promptTokens} tokens in ${pieces} pieces`);
	for (const [index, {target, cachedTokens, ...costs}] of candidates.entries()) {
		const durations = Object.entries(costs).filter(([name, value]) => name.endsWith('Ms') && typeof value === 'number');
		const text = durations.map(([name, value]) => `${name.slice(0, -2)} ${Number(value).toFixed(1)} ms`).join(', ');
		io.write(`${index + 1}. ${target.name} (${target.zone}): ${text}; ${cachedTokens} tokens cached`);
	}

	if (ineligible.length > 0) {
		io.write(`not eligible: ${ineligible.join(', ')}`);
	}
}
