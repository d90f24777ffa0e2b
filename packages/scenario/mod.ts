/**
 * Parses and runs scenarios: text files with one step per line that drive
 * routers, callers and stand-ins on a manual clock.
 * docs/SCENARIOS.md lists the steps.
 */
export {parseScenario, type Step} from './parse.ts';
export {runScenario, runSteps, type ScenarioFailure} from './run.ts';
export {Simulation} from './simulation.ts';
