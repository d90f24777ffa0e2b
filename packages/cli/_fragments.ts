/** Reads the service files that are given on the command line. */
import {readdir, readFile, stat} from 'node:fs/promises';
import path from 'node:path';
import {maxFragmentBytes, type Fragment} from '#configuration';
import {
	fail, succeed, getErrorMessage, type Result,
} from '#core';

/** Maximum size of a service file, in bytes: twice that of a stored fragment, which leaves room for indentation. */
const maxFileBytes = 2 * maxFragmentBytes;

/**
 * Reads the given files, and the `*.json` files of the given folders sorted by name.
 *
 * @returns the files, or a message that contains the path that cannot be read
 */
export async function readFragments(paths: readonly string[]): Promise<Result<readonly Fragment[], string>> {
	const fragments: Fragment[] = [];
	try {
		for (const inputPath of paths) {
			const files = await listFiles(inputPath);
			if (files.length === 0) {
				return fail(`${inputPath}: holds no *.json file; give the folder that contains the service files`);
			}

			for (const file of files) {
				const {size} = await stat(file);
				if (size > maxFileBytes) {
					return fail(`${file}: is ${size} bytes long, the maximum is ${maxFileBytes}; split it into several services`);
				}

				fragments.push({file, text: await readFile(file, 'utf8')});
			}
		}
	} catch (error) {
		return fail(formatFileError(error));
	}

	return succeed(fragments);
}

async function listFiles(inputPath: string): Promise<readonly string[]> {
	const stats = await stat(inputPath);
	if (!stats.isDirectory()) {
		return [inputPath];
	}

	const entries = await readdir(inputPath, {withFileTypes: true});
	return entries
		.filter(entry => entry.isFile() && entry.name.endsWith('.json'))
		.map(entry => path.join(inputPath, entry.name))
		.toSorted((a, b) => a < b ? -1 : 1);
}

const messagesByErrorCode: Readonly<Record<string, string>> = {
	ENOENT: 'does not exist; correct the path',
	EACCES: 'cannot be read: permission denied; change its permissions',
	EISDIR: 'is a folder; give a file',
	ENOTDIR: 'has a parent that is not a folder; correct the path',
};

/** Formats a file system error as a message with the path and a remedy. */
export function formatFileError(error: unknown): string {
	if (error instanceof Error && 'code' in error && 'path' in error) {
		return `${String(error.path)}: ${messagesByErrorCode[String(error.code)] ?? error.message}`;
	}

	return getErrorMessage(error);
}
