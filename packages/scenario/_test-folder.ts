/** Runs all scenarios of a folder in one test, with one assertion per scenario. */
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import type {Test} from 'tap';
import {runScenario} from './run.ts';
import {prepareHash} from '#core';

/**
 * Declares a test that runs each scenario in the folder `scenarios/NAME`.
 *
 * @param t root test of the test file
 * @param name folder name; the folder must hold at least one scenario
 */
export function testFolder(t: Test, name: string): void {
	const folder = path.join(process.cwd(), 'scenarios', name);
	t.before(prepareHash);
	void t.test(name, async t => {
		const files = await readdir(folder);
		t.ok(files.length > 0, `${files.length} scenarios`);
		for (const file of files.toSorted()) {
			const result = await runScenario(file, await readFile(path.join(folder, file), 'utf8'));
			t.ok(result.ok, result.ok ? file : `${result.error.file}:${result.error.line}: ${result.error.message}`);
		}
	});
}
