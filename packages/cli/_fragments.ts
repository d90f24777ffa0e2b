/** Reads the service files that are named on the command line. */
import {readdir, readFile, stat} from 'node:fs/promises';
import path from 'node:path';
import {maxFragmentBytes, type Fragment} from '#configuration';
import {
	fail, succeed, toMessage, type Result,
} from '#core';

/** Largest file that is read, in bytes: a stored fragment with as much space again for indentation. */
const maxFileBytes = 2 * maxFragmentBytes;

/**
 * Reads files, and every `*.json` file of folders, in order of their names.
 *
 * @returns the files, or a message that names what cannot be read
 */
export async function readFragments(paths: readonly string[]): Promise<Result<readonly Fragment[], string>> {
	const fragments: Fragment[] = [];
	try {
		for (const given of paths) {
			const files = await listFiles(given);
			if (files.length === 0) {
				return fail(`${given}: holds no *.json file; name the folder of the service files`);
			}

			for (const file of files) {
				const {size} = await stat(file);
				if (size > maxFileBytes) {
					return fail(`${file}: has ${size} bytes, at most ${maxFileBytes} are read; split it into several services`);
				}

				fragments.push({file, text: await readFile(file, 'utf8')});
			}
		}
	} catch (error) {
		return fail(explainFileError(error));
	}

	return succeed(fragments);
}

async function listFiles(given: string): Promise<readonly string[]> {
	const found = await stat(given);
	if (!found.isDirectory()) {
		return [given];
	}

	const entries = await readdir(given, {withFileTypes: true});
	return entries
		.filter(entry => entry.isFile() && entry.name.endsWith('.json'))
		.map(entry => path.join(given, entry.name))
		.toSorted((a, b) => a < b ? -1 : 1);
}

const reasons: Readonly<Record<string, string>> = {
	ENOENT: 'does not exist; correct the path',
	EACCES: 'may not be read; change its permissions',
	EISDIR: 'is a folder; name a file',
	ENOTDIR: 'is inside something that is no folder; correct the path',
};

/** Words a file system error for people. */
export function explainFileError(error: unknown): string {
	if (error instanceof Error && 'code' in error && 'path' in error) {
		return `${String(error.path)}: ${reasons[String(error.code)] ?? error.message}`;
	}

	return toMessage(error);
}
