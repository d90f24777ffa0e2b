/** Steps that send requests and let time pass. */
import {CallerCall} from './_caller.ts';
import {ScenarioError} from './error.ts';
import {
	getWord, parseNumber, parseTime, type Step,
} from './parse.ts';
import type {StepTable} from './_step.ts';
import {makeCustomerKey, type World} from './world.ts';
import type {CallerRequest} from '#entry';
import type {Work} from '#core';

const defaultTokens = 40;

export const trafficSteps: StepTable = {
	/** `chat CALL ROUTER customer=C route=R "PROMPT"… [tokens=N]`: each quoted text is one message. */
	chat(world, step) {
		const messages = step.words.slice(2).map(content => expandText(content));
		if (messages.length === 0) {
			throw new ScenarioError('a chat needs at least one message');
		}

		sendCall(world, step, makeChat(step, messages));
	},

	/** `call CALL ROUTER METHOD /PATH customer=C route=R [key=K] [body=TEXT]` */
	call(world, step) {
		const body = new TextEncoder().encode(step.options.get('body') ?? '');
		sendCall(world, step, {
			kind: 'call', method: getWord(step, 2, 'a method'), path: getWord(step, 3, 'a path'), contentType: 'application/json', body,
		});
	},

	/** `flow NAME ROUTER… customer=C route=R rate=PER-SECOND for=TIME prompt=TEXT [tokens=N]`: chats at an even rate, whatever becomes of them. */
	flow(world, step) {
		const [name = '', ...routers] = step.words;
		const everyMs = 1000 / parseNumber(step.options.get('rate') ?? '1');
		const count = Math.floor(parseTime(step.options.get('for') ?? '1s') / everyMs);
		for (let index = 0; index < count; index++) {
			world.clock.after(index * everyMs, () => {
				const router = routers[index % routers.length]!;
				const messages = [expandText(step.options.get('prompt') ?? 'hello'), `question ${index}`];
				sendCall(world, {...step, words: [`${name}.${index}`, router]}, makeChat(step, messages));
			});
		}
	},

	/** `leave CALL`: the caller goes away. */
	leave(world, step) {
		world.getCall(getWord(step, 0, 'a call')).leave();
	},

	/** `wait TIME` */
	async wait(world, step) {
		await world.clock.advance(parseTime(getWord(step, 0, 'a time')));
	},

	/** `until CALL… done within=TIME` */
	async until(world, step) {
		const limitMs = parseTime(step.options.get('within') ?? '30s');
		const names = step.words.filter(word => word !== 'done');
		const isDone = () => names.every(name => world.getCall(name).state !== 'running');
		const inTime = await world.clock.advanceUntil(isDone, limitMs, 1);
		if (!inTime) {
			const running = names.filter(name => world.getCall(name).state === 'running');
			throw new ScenarioError(`still running after ${limitMs} ms: ${running.join(', ')}`);
		}
	},

	/** `ready ROUTER… within=TIME`: waits for the newest generation. */
	async ready(world, step) {
		const limitMs = parseTime(step.options.get('within') ?? '5s');
		const isReady = () => step.words.every(name => world.getRouter(name).router.configuration.current?.generation === world.generation);
		const inTime = await world.clock.advanceUntil(isReady, limitMs, 1);
		if (!inTime) {
			const found = step.words.map(name => `${name} has ${world.getRouter(name).router.configuration.current?.generation ?? 0}`);
			throw new ScenarioError(`generation ${world.generation} is not in force after ${limitMs} ms: ${found.join(', ')}`);
		}
	},
};

function makeChat(step: Step, messages: readonly string[]): Work {
	const tokens = step.options.get('tokens');
	return {
		kind: 'chat',
		messages: messages.map((content, index) => ({role: index === 0 ? 'system' : 'user', content})),
		maxTokens: tokens === undefined ? defaultTokens : parseNumber(tokens),
		extra: {},
	};
}

function sendCall(world: World, step: Step, work: Work): void {
	const name = getWord(step, 0, 'a call name');
	const host = world.getRouter(getWord(step, 1, 'a router'));
	const request: CallerRequest = {
		route: step.options.get('route') ?? (work.kind === 'chat' ? 'chat' : 'ledger'),
		authorization: `Bearer ${makeCustomerKey(step.options.get('customer') ?? 'installer')}`,
		idempotencyKey: step.options.get('key'),
		work,
	};
	world.calls.set(name, new CallerCall(world.clock, host, request));
}

/** Writes `TEXT*COUNT` out, so that a scenario can have long prompts. */
function expandText(text: string): string {
	const match = /^(?<unit>.*)\*(?<count>\d+)$/sv.exec(text);
	return match ? match.groups!.unit!.repeat(Number(match.groups!.count)) : text;
}
