/**
 * Runs the bundled program with the code cache that was created when it was
 * built, which saves most of the time to compile it. A cache of another Node.js or
 * of other flags is ignored.
 */
'use strict';
const {readFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

const filename = path.join(__dirname, 'program.cjs');

/** Compiles the program as the body of a CommonJS module. */
function compileProgram(cachedData) {
	const source = readFileSync(filename, 'utf8');
	return new vm.Script(`(function (exports, require, module, __filename, __dirname) {${source}\n})`, {filename, cachedData});
}

/** Reads the code cache; returns `undefined` if there is none. */
function readCodeCache() {
	try {
		return readFileSync(path.join(__dirname, 'program.cache'));
	} catch {
		return undefined;
	}
}

const script = compileProgram(readCodeCache());
if (script.cachedDataRejected) {
	process.stderr.write('the code cache was created by another Node.js or with other flags; the program is compiled\n');
}

const program = {exports: {}};
script.runInThisContext()(program.exports, require, program, filename, __dirname);

// The build runs the program for a moment, so that the cache also holds the functions that a start compiles.
const cachePath = process.env.APRICOTDOOR_CODE_CACHE;
if (cachePath !== undefined) {
	const {writeFileSync} = require('node:fs');
	setTimeout(() => {
		writeFileSync(cachePath, script.createCachedData());
		process.exit(0); // eslint-disable-line unicorn/no-process-exit -- the running instance keeps the process alive
	}, 1000);
}
