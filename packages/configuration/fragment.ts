/** A fragment: one service file as written, as parsed, and as stored. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {explainIssues, type FieldFault} from './explain-issues.ts';
import {serviceFileSchema, type ServiceFile} from './service-file.ts';
import {
	fail, succeed, getErrorMessage, type Result,
} from '#core';

/** The text of one service file, not yet checked. */
export type Fragment = Readonly<{
	/** File name for messages. */
	file: string;
	/** JSON text. */
	text: string;
}>;

/** A fault in a service file, with its location and how to fix it. */
export type ConfigurationFault = FieldFault & Readonly<{file: string}>;

/** A service file that matches the schema. */
export type ParsedFragment = Readonly<{
	file: string;
	service: ServiceFile;
	/** JSON without insignificant white space, as it is stored. */
	text: string;
	/** SHA-256 of `text` in hexadecimal; a later change states it as its base. */
	checksum: string;
}>;

/** Maximum size of a stored fragment, in bytes; the platform refuses values over 1 MiB. */
export const maxFragmentBytes = 1_000_000;
/** Maximum nesting depth of a service file. */
const maxNestingDepth = 16;

/** Parses a service file, and returns every fault with its field. */
export function parseFragment(fragment: Fragment): Result<ParsedFragment, readonly ConfigurationFault[]> {
	const {file} = fragment;
	let json: unknown;
	try {
		json = JSON.parse(fragment.text);
	} catch (error) {
		return fail([{file, field: '', message: `is not JSON: ${getErrorMessage(error)}; correct the syntax`}]);
	}

	if (!isWithinDepth(json, maxNestingDepth)) {
		return fail([{file, field: '', message: `is nested deeper than ${maxNestingDepth} levels; flatten it`}]);
	}

	const text = JSON.stringify(json);
	const bytes = Buffer.byteLength(text);
	if (bytes > maxFragmentBytes) {
		return fail([{file, field: '', message: `has ${bytes} bytes, the maximum is ${maxFragmentBytes}; split it into several services`}]);
	}

	const parsed = serviceFileSchema.safeParse(json);
	if (!parsed.success) {
		return fail(explainIssues(serviceFileSchema, parsed.error).map(fault => ({file, ...fault})));
	}

	return succeed({
		file, service: parsed.data, text, checksum: createHash('sha256').update(text).digest('hex'),
	});
}

function isWithinDepth(json: unknown, depth: number): boolean {
	if (typeof json !== 'object' || json === null) {
		return true;
	}

	return depth > 0 && Object.values(json).every(value => isWithinDepth(value, depth - 1));
}
