/** Start of the binary. */
import process from 'node:process';
import {createProcessIo} from './io.ts';
import {runCommandLine} from './program.ts';
import {prepareHash} from '#core';

async function run(): Promise<void> {
	await prepareHash();
	const code = await runCommandLine(process.argv.slice(2), createProcessIo());
	process.exit(code); // eslint-disable-line unicorn/no-process-exit -- kept-alive connections would hold the process
}

void run();
