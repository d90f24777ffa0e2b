/** Translates the issues that `zod` finds in a JSON document into faults that say how to fix them. */
import * as z from 'zod';
import {findNearest} from './find-nearest.ts';

/** A fault of a JSON document. */
export type FieldFault = Readonly<{
	/** Path of the field, such as `routes.0.pool`; empty for the whole document. */
	field: string;
	/** What is wrong, and how to fix it. */
	message: string;
}>;

type Issue = z.core.$ZodIssue;
type JsonSchema = Readonly<{
	properties?: Readonly<Record<string, JsonSchema>>;
	items?: JsonSchema;
}>;

/**
 * Explains every issue of a failed parse. For an unknown key, the message
 * suggests the most similar known key.
 *
 * @param schema the schema with which the document was parsed
 */
export function explainIssues(schema: z.ZodType, error: z.ZodError): readonly FieldFault[] {
	const jsonSchema = z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'}) as JsonSchema; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- only two optional fields are read
	return error.issues.flatMap(issue => explainIssue(issue, jsonSchema));
}

function explainIssue(issue: Issue, jsonSchema: JsonSchema): readonly FieldFault[] {
	if (issue.code === 'unrecognized_keys') {
		const known = Object.keys(getSchemaAt(jsonSchema, issue.path)?.properties ?? {});
		return issue.keys.map(key => ({field: joinPath([...issue.path, key]), message: `unknown key; ${formatSuggestion(key, known)}`}));
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
 * Suggests how to fix an unknown name: the most similar known name, a list of
 * known names, or removal.
 */
export function formatSuggestion(name: string, known: Iterable<string>): string {
	const names = [...known];
	const nearest = findNearest(name, names);
	if (nearest !== undefined) {
		return `did you mean "${nearest}"?`;
	}

	return names.length === 0 ? 'remove it' : `known are: ${names.slice(0, maxListedNames).join(', ')}${names.length > maxListedNames ? ', …' : ''}`;
}

/** Maximum number of names in a message. */
const maxListedNames = 12;

function getSchemaAt(jsonSchema: JsonSchema, path: readonly PropertyKey[]): JsonSchema | undefined {
	let schema: JsonSchema | undefined = jsonSchema;
	for (const part of path) {
		schema = typeof part === 'number' ? schema?.items : schema?.properties?.[String(part)];
	}

	return schema;
}

function joinPath(path: readonly PropertyKey[]): string {
	return path.map(String).join('.');
}
