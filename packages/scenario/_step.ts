/** What a step's handler is. */
import type {Step} from './parse.ts';
import type {World} from './world.ts';

/** Carries out one step; throws {@link ScenarioError} when it fails. */
export type StepHandler = (world: World, step: Step) => void | Promise<void>;

/** Handlers by verb. */
export type StepTable = Readonly<Record<string, StepHandler>>;
