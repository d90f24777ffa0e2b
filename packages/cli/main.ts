/** Entry point of the `apricotdoor` program. */
import process from 'node:process';
import {createProcessIo} from './io.ts';
import {runCommandLine} from './program.ts';
import {prepareHash} from '#core';

async function run(): Promise<void> {
	// The hash function is WebAssembly, which loads asynchronously.
	await prepareHash();
	const exitCode = await runCommandLine(process.argv.slice(2), createProcessIo());
	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- keep-alive connections would keep the process running
}

void run();
