/** One service file: its text, its parsed form, and the text under which it is stored. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {explainIssues, type FieldFault} from './explain-issues.ts';
import {serviceFileSchema, type ServiceFile} from './service-file.ts';
import {
	fail, succeed, toMessage, type Result,
} from '#core';

/** One service file, not yet checked. */
export type Fragment = Readonly<{
	/** File name, for messages. */
	file: string;
	/** JSON text. */
	text: string;
}>;

/** A fault, where it stands and how to mend it. */
export type ConfigurationFault = FieldFault & Readonly<{file: string}>;

/** A service file that agrees with the schema. */
export type ParsedFragment = Readonly<{
	file: string;
	service: ServiceFile;
	/** JSON without insignificant space; what is stored. */
	text: string;
	/** SHA-256 of `text` in hexadecimal; the base that a later change states. */
	checksum: string;
}>;

/** Largest stored fragment, in bytes; the platform refuses values over 1 MiB. */
export const maxFragmentBytes = 1_000_000;
/** Deepest nesting of a service file. */
const maxDepth = 16;

/** Parses a service file, and says every fault by field. */
export function parseFragment(fragment: Fragment): Result<ParsedFragment, readonly ConfigurationFault[]> {
	const {file} = fragment;
	let json: unknown;
	try {
		json = JSON.parse(fragment.text);
	} catch (error) {
		return fail([{file, field: '', message: `is not JSON: ${toMessage(error)}; correct it there`}]);
	}

	if (!isWithinDepth(json, maxDepth)) {
		return fail([{file, field: '', message: `is nested deeper than ${maxDepth} levels; flatten it`}]);
	}

	const text = JSON.stringify(json);
	const bytes = Buffer.byteLength(text);
	if (bytes > maxFragmentBytes) {
		return fail([{file, field: '', message: `has ${bytes} bytes, the platform holds ${maxFragmentBytes}; split it into several services`}]);
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
