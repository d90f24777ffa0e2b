/** The command line: one program with a command for each task of an operator. */
export {runCommandLine} from './program.ts';
export {exitCodes, type ExitCode} from './exit-codes.ts';
export type {CommandIo} from './io.ts';
