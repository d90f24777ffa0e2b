/** The command line: one binary, a verb for each thing that operators do. */
export {createProgram} from './program.ts';
