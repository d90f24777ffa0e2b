/** Reads the service files below folders. */
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import type {Fragment} from '#configuration';

/**
 * Reads every `*.json` file of the folders, in order of their names.
 *
 * @throws when a folder cannot be read
 */
export async function readFragments(folders: readonly string[]): Promise<readonly Fragment[]> {
	const fragments: Fragment[] = [];
	for (const folder of folders) {
		const names = await readdir(folder);
		for (const name of names.filter(name => name.endsWith('.json')).toSorted()) {
			const file = path.join(folder, name);
			fragments.push({file, text: await readFile(file, 'utf8')});
		}
	}

	return fragments;
}
