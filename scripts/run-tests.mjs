/**
 * Runs all tests and prints the totals. A test file listed in KNOWN-RED.txt may
 * fail: its name is printed and the failure is ignored. Any other failure fails
 * the run. Some files run alone, after the others.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

/** Maximum size of the output of the tests, in bytes. */
const maxOutputBytes = 268_435_456;

const expectedFailures = existsSync('KNOWN-RED.txt')
	? new Set(readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice(6).trim()))
	: new Set();
/** Test files that run alone, as their result depends on the memory and the load of the machine. */
const separateFiles = ['platform/instance-memory.test.ts', 'platform/caller-crowds.test.ts'];

/** Runs tap on test files. */
function runTests(testFiles) {
	return spawnSync('npm', ['test', '--silent', '--', ...testFiles], {encoding: 'utf8', maxBuffer: maxOutputBytes});
}

const testFiles = spawnSync('git', ['ls-files', 'packages', 'platform'], {encoding: 'utf8'}).stdout.split('\n').filter(file => file.endsWith('.test.ts'));
const groups = [testFiles.filter(file => !separateFiles.includes(file)), ...separateFiles.map(file => [file])];
const runs = groups.map(group => runTests(group));
const stdout = runs.map(run => run.stdout).join('\n');
const lines = stdout.split('\n');
/** Lists the lines with the results of the files of a run. A file that runs alone has none if it reaches its time limit. */
const listResults = (run, group) => {
	const results = run.stdout.split('\n').filter(line => /^(not )?ok \d+ - (packages|platform)\//v.test(line));
	return results.length === 0 && group.length === 1 ? [`not ok 1 - ${group[0]}`] : results;
};

const files = runs.flatMap((run, index) => listResults(run, groups[index]));
const failed = files.filter(line => line.startsWith('not ok')).map(line => /(packages|platform)\/\S+/v.exec(line)[0]);
const unexpectedFailures = failed.filter(file => !expectedFailures.has(file));
if (unexpectedFailures.length > 0 || files.length === 0) {
	console.log(stdout);
	console.error(runs.map(run => run.stderr).join('\n'));
}

for (const file of failed.filter(file => expectedFailures.has(file))) {
	console.log(`known red: ${file}`);
}

if (files.length !== testFiles.length) {
	console.log(`results of ${files.length} of ${testFiles.length} test files`);
}

const hasPassed = unexpectedFailures.length === 0 && files.length === testFiles.length && (runs.every(({status}) => status === 0) || failed.length > 0);
const assertions = lines.filter(line => /^ *ok \d+/v.test(line)).length;
console.log(`${assertions} assertions in ${files.length} test files`);
console.log(`${files.length - failed.length} passed, ${unexpectedFailures.length} failed`);
process.exitCode = hasPassed ? 0 : 1;
