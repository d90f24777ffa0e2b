import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import t from 'tap';
import {runScenario} from './run.ts';
import {prepareHash} from '#core';

const folder = path.join(process.cwd(), 'scenarios');

t.before(prepareHash);

t.test('every scenario holds', async t => {
	const names = await readdir(folder);
	t.ok(names.length > 0);
	for (const name of names.toSorted()) {
		const result = await runScenario(name, await readFile(path.join(folder, name), 'utf8'));
		t.ok(result.ok, result.ok ? name : `${result.error.file}:${result.error.line}: ${result.error.message}`);
	}
});
