/** What verbs read and write, handed in so that tests can run them in their own process. */
import {text} from 'node:stream/consumers';
import process from 'node:process';
import type {Environment} from '#node';

/** Input and output of a verb. */
export type CommandIo = Readonly<{
	/** Writes a line of results. */
	write: (line: string) => void;
	/** Writes a line for people, such as a fault or progress. */
	warn: (line: string) => void;
	/** Reads all of the input. */
	readInput: () => Promise<string>;
	environment: Environment;
}>;

/** The process's own streams. */
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
