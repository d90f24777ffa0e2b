/** Input and output of the commands, passed as a parameter so that tests can run commands within their own process. */
import {text} from 'node:stream/consumers';
import process from 'node:process';
import type {Environment} from '#node';

/** Input and output of a command. */
export type CommandIo = Readonly<{
	/** Writes a line of results, on standard output. */
	write: (line: string) => void;
	/** Writes a line of diagnostics, such as a fault or progress, on standard error. */
	warn: (line: string) => void;
	/** Reads standard input to its end. */
	readInput: () => Promise<string>;
	environment: Environment;
}>;

/** Creates input and output on the streams and environment of the process. */
export function createProcessIo(): CommandIo {
	return {
		write(line) {
			process.stdout.write(`${line}\n`);
		},
		warn(line) {
			process.stderr.write(`${line}\n`);
		},
		readInput: async () => text(process.stdin),
		environment: process.env,
	};
}
