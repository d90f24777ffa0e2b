/** Types of the functions that run the steps. */
import type {Step} from './parse.ts';
import type {Simulation} from './simulation.ts';

/** Runs one step; throws a `ScenarioError` if the step fails. */
export type StepHandler = (simulation: Simulation, step: Step) => void | Promise<void>;

/** Step handlers by verb. */
export type StepTable = Readonly<Record<string, StepHandler>>;
