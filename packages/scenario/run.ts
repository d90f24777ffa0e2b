/** Runs a scenario step by step. */
import {ScenarioError} from './error.ts';
import {parseScenario, type Step} from './parse.ts';
import {checkSteps} from './_steps-check.ts';
import {faultSteps} from './_steps-fault.ts';
import {setupSteps} from './_steps-setup.ts';
import {trafficSteps} from './_steps-traffic.ts';
import type {StepHandler} from './_step.ts';
import {World} from './world.ts';
import {fail, succeed, type Result} from '#core';

/** Where and why a scenario failed. */
export type ScenarioFault = Readonly<{
	file: string;
	/** Line number, from 1. */
	line: number;
	message: string;
}>;

const handlers: ReadonlyMap<string, StepHandler> = new Map(Object.entries({
	...setupSteps, ...trafficSteps, ...faultSteps, ...checkSteps,
}));

/**
 * Runs a scenario to its end or its first failing step.
 *
 * @param file name of the scenario, for messages
 * @param text its steps
 */
export async function runScenario(file: string, text: string): Promise<Result<void, ScenarioFault>> {
	const world = new World();
	try {
		return await runSteps(world, file, text);
	} finally {
		await world.end();
	}
}

/** Runs steps in a world that the caller keeps. */
export async function runSteps(world: World, file: string, text: string): Promise<Result<void, ScenarioFault>> {
	const steps = parseScenario(text);
	if (!steps.ok) {
		return fail({file, ...steps.error});
	}

	for (const step of steps.value) {
		const message = await runStep(world, step);
		if (message !== undefined) {
			return fail({file, line: step.line, message});
		}
	}

	return succeed(undefined);
}

async function runStep(world: World, step: Step): Promise<string | undefined> {
	const handler = handlers.get(step.verb);
	if (!handler) {
		return `there is no step "${step.verb}"; the steps are: ${[...handlers.keys()].join(', ')}`;
	}

	try {
		await handler(world, step);
		return undefined;
	} catch (error) {
		if (error instanceof ScenarioError) {
			return error.message;
		}

		throw error;
	}
}
