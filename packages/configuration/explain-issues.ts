/** Turns what `zod` finds wrong with a JSON document into faults that say the mend. */
import * as z from 'zod';
import {findNearest} from './nearest.ts';

/** A fault of a JSON document. */
export type FieldFault = Readonly<{
	/** Path of the field, such as `routes.0.pool`; empty for the whole document. */
	field: string;
	/** What is wrong, and how to mend it. */
	message: string;
}>;

type Issue = z.core.$ZodIssue;
type JsonSchema = Readonly<{
	properties?: Readonly<Record<string, JsonSchema>>;
	items?: JsonSchema;
}>;

/**
 * Explains every issue of a failed parse. An unknown key is answered with the
 * nearest known one.
 *
 * @param schema the schema that the document was parsed with
 */
export function explainIssues(schema: z.ZodType, error: z.ZodError): readonly FieldFault[] {
	const document = z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'}) as JsonSchema; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- only two optional fields are read
	return error.issues.flatMap(issue => explainIssue(issue, document));
}

function explainIssue(issue: Issue, document: JsonSchema): readonly FieldFault[] {
	if (issue.code === 'unrecognized_keys') {
		const known = Object.keys(getSchemaAt(document, issue.path)?.properties ?? {});
		return issue.keys.map(key => ({field: joinPath([...issue.path, key]), message: `unknown key; ${writeSuggestion(key, known)}`}));
	}

	const field = joinPath(issue.path);
	if (issue.code === 'invalid_value') {
		return [{field, message: `must be one of: ${issue.values.join(', ')}`}];
	}

	if (issue.code === 'invalid_type' && issue.message.endsWith('received undefined')) {
		return [{field, message: `is missing; add it (${issue.expected})`}];
	}

	return [{field, message: issue.message}];
}

/**
 * Words the mend for a name that is not known.
 *
 * @param known names to choose from
 */
export function writeSuggestion(name: string, known: Iterable<string>): string {
	const names = [...known];
	const nearest = findNearest(name, names);
	if (nearest !== undefined) {
		return `did you mean "${nearest}"?`;
	}

	return names.length === 0 ? 'remove it' : `known are: ${names.slice(0, maxListed).join(', ')}${names.length > maxListed ? ', …' : ''}`;
}

/** Names that a message lists at most. */
const maxListed = 12;

function getSchemaAt(document: JsonSchema, path: readonly PropertyKey[]): JsonSchema | undefined {
	let at: JsonSchema | undefined = document;
	for (const part of path) {
		at = typeof part === 'number' ? at?.items : at?.properties?.[String(part)];
	}

	return at;
}

function joinPath(path: readonly PropertyKey[]): string {
	return path.map(String).join('.');
}
