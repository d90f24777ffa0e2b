/** Runs the steps of a scenario in order and reports the first one that fails. */
import {ScenarioError} from './error.ts';
import {parseScenario, type Step} from './parse.ts';
import {checkSteps} from './_steps-check.ts';
import {faultSteps} from './_steps-fault.ts';
import {setupSteps} from './_steps-setup.ts';
import {trafficSteps} from './_steps-traffic.ts';
import type {StepHandler} from './_step-handler.ts';
import {Simulation} from './simulation.ts';
import {fail, succeed, type Result} from '#core';

/** The line at which a scenario failed, and the reason. */
export type ScenarioFailure = Readonly<{
	file: string;
	/** Line number, from 1. */
	line: number;
	message: string;
}>;

const stepHandlers: ReadonlyMap<string, StepHandler> = new Map(Object.entries({
	...setupSteps, ...trafficSteps, ...faultSteps, ...checkSteps,
}));

/**
 * Runs a scenario in a simulation of its own until its end or its first failing step.
 *
 * @param file name of the scenario file, for failure messages
 * @param text content of the scenario file
 */
export async function runScenario(file: string, text: string): Promise<Result<void, ScenarioFailure>> {
	const simulation = new Simulation();
	try {
		return await runSteps(simulation, file, text);
	} finally {
		await simulation.killRouters();
	}
}

/** Runs steps in the caller's simulation, which the caller can inspect and use again afterwards. */
export async function runSteps(simulation: Simulation, file: string, text: string): Promise<Result<void, ScenarioFailure>> {
	const steps = parseScenario(text);
	if (!steps.ok) {
		return fail({file, ...steps.error});
	}

	for (const step of steps.value) {
		const message = await runStep(simulation, step);
		if (message !== undefined) {
			return fail({file, line: step.line, message});
		}
	}

	return succeed(undefined);
}

/** Runs one step, and returns the failure message if the step fails. */
async function runStep(simulation: Simulation, step: Step): Promise<string | undefined> {
	const handler = stepHandlers.get(step.verb);
	if (!handler) {
		return `there is no step "${step.verb}"; the steps are: ${[...stepHandlers.keys()].join(', ')}`;
	}

	try {
		await handler(simulation, step);
		return undefined;
	} catch (error) {
		if (error instanceof ScenarioError) {
			return error.message;
		}

		throw error;
	}
}
