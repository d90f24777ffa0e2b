/** Steps that send requests and advance the clock. */
import {CallerCall} from './_caller-call.ts';
import {ScenarioError} from './error.ts';
import {
	getWord, parseNumber, parseTime, type Step,
} from './parse.ts';
import type {StepTable} from './_step-handler.ts';
import {createCustomerKey, type Simulation} from './simulation.ts';
import type {CallerRequest} from '#entry';
import type {Work} from '#core';

const defaultMaxTokens = 40;

export const trafficSteps: StepTable = {
	/** `chat CALL ROUTER customer=C route=R "PROMPT"… [tokens=N]`: sends a chat in which each quoted text is one message. */
	chat(simulation, step) {
		const messages = step.words.slice(2).map(content => expandText(content));
		if (messages.length === 0) {
			throw new ScenarioError('a chat needs at least one message');
		}

		sendCall(simulation, step, createChat(step, messages));
	},

	/** `call CALL ROUTER METHOD /PATH customer=C route=R [key=K] [body=TEXT]`: sends a service call. */
	call(simulation, step) {
		const body = new TextEncoder().encode(step.options.get('body') ?? '');
		sendCall(simulation, step, {
			kind: 'call', method: getWord(step, 2, 'a method'), path: getWord(step, 3, 'a path'), contentType: 'application/json', body,
		});
	},

	/** `flow NAME ROUTER… customer=C route=R rate=PER-SECOND for=TIME prompt=TEXT [tokens=N]`: sends chats at a constant rate to the routers in turn, without waiting for answers; the calls are named NAME.0, NAME.1 and so on. */
	flow(simulation, step) {
		const [name = '', ...routers] = step.words;
		const intervalMs = 1000 / parseNumber(step.options.get('rate') ?? '1');
		const count = Math.floor(parseTime(step.options.get('for') ?? '1s') / intervalMs);
		for (let index = 0; index < count; index++) {
			simulation.clock.setTimer(index * intervalMs, () => {
				const router = routers[index % routers.length]!;
				const messages = [expandText(step.options.get('prompt') ?? 'hello'), `question ${index}`];
				sendCall(simulation, {...step, words: [`${name}.${index}`, router]}, createChat(step, messages));
			});
		}
	},

	/** `leave CALL`: disconnects the caller. */
	leave(simulation, step) {
		simulation.getCall(getWord(step, 0, 'a call')).leave();
	},

	/** `wait TIME`: advances the clock. */
	async wait(simulation, step) {
		await simulation.clock.advance(parseTime(getWord(step, 0, 'a time')));
	},

	/** `until CALL… done within=TIME`: waits until none of the calls is running. */
	async until(simulation, step) {
		const timeoutMs = parseTime(step.options.get('within') ?? '30s');
		const names = step.words.filter(word => word !== 'done');
		const isDone = () => names.every(name => simulation.getCall(name).state !== 'running');
		const isInTime = await simulation.clock.advanceUntil(isDone, timeoutMs, 1);
		if (!isInTime) {
			const running = names.filter(name => simulation.getCall(name).state === 'running');
			throw new ScenarioError(`still running after ${timeoutMs} ms: ${running.join(', ')}`);
		}
	},

	/** `ready ROUTER… within=TIME`: waits until the routers have the last published generation in force. */
	async ready(simulation, step) {
		const timeoutMs = parseTime(step.options.get('within') ?? '5s');
		const isReady = () => step.words.every(name => simulation.getRouter(name).router.configuration.current?.generation === simulation.generation);
		const isInTime = await simulation.clock.advanceUntil(isReady, timeoutMs, 1);
		if (!isInTime) {
			const generations = step.words.map(name => `${name} has ${simulation.getRouter(name).router.configuration.current?.generation ?? 0}`);
			throw new ScenarioError(`generation ${simulation.generation} is not in force after ${timeoutMs} ms: ${generations.join(', ')}`);
		}
	},
};

function createChat(step: Step, messages: readonly string[]): Work {
	const tokens = step.options.get('tokens');
	return {
		kind: 'chat',
		messages: messages.map((content, index) => ({role: index === 0 ? 'system' : 'user', content})),
		maxTokens: tokens === undefined ? defaultMaxTokens : parseNumber(tokens),
		extra: {},
	};
}

function sendCall(simulation: Simulation, step: Step, work: Work): void {
	const name = getWord(step, 0, 'a call name');
	const host = simulation.getRouter(getWord(step, 1, 'a router'));
	const request: CallerRequest = {
		route: step.options.get('route') ?? (work.kind === 'chat' ? 'chat' : 'ledger'),
		authorization: `Bearer ${createCustomerKey(step.options.get('customer') ?? 'installer')}`,
		idempotencyKey: step.options.get('key'),
		work,
	};
	simulation.calls.set(name, new CallerCall(simulation.clock, host, request));
}

/** Expands `TEXT*COUNT` to COUNT repetitions of TEXT, so that a scenario can send long prompts. */
function expandText(text: string): string {
	const match = /^(?<unit>.*)\*(?<count>\d+)$/sv.exec(text);
	return match ? match.groups!.unit!.repeat(Number(match.groups!.count)) : text;
}
