/**
 * A small language for tests: a scenario is a text file with one step a line,
 * which drives routers, callers and stand-ins on a manual clock.
 * docs/SCENARIOS.md lists the steps.
 */
export {parseScenario, type Step} from './parse.ts';
export {runScenario, runSteps, type ScenarioFault} from './run.ts';
export {World} from './world.ts';
