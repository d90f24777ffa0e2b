/** Start of the binary. */
import process from 'node:process';
import {createProgram} from './program.ts';
import {prepareHash} from '#core';

async function run(): Promise<void> {
	await prepareHash();
	await createProgram().parseAsync(process.argv);
}

void run();
