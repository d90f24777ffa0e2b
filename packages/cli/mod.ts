/** The command line: one binary, a verb for each thing that operators do. */
export {runCommandLine} from './program.ts';
export {exitCodes, type ExitCode} from './exit-codes.ts';
export type {CommandIo} from './io.ts';
