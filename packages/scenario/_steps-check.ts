/** Steps that state what must hold. */
import {Buffer} from 'node:buffer';
import type {CallerCall} from './_caller.ts';
import {ScenarioError} from './error.ts';
import {
	getWord, parseNumber, parseTime, type Step,
} from './parse.ts';
import type {StepTable} from './_step.ts';
import type {World} from './world.ts';
import {counterRules, type CounterName} from '#telemetry';
import {writeAnswerText} from '#standins';

/** Checks one property of a call; returns what is wrong. */
type CallCheck = (call: CallerCall, step: Step) => string | undefined;

const callChecks: Readonly<Record<string, CallCheck>> = {
	answered: call => call.state === 'answered' ? undefined : describeCall(call),
	running: call => call.state === 'running' ? undefined : describeCall(call),
	cut: call => call.state === 'cut' ? undefined : describeCall(call),
	exact(call) {
		const whole = Buffer.concat(writeAnswerText(call.work));
		if (call.state !== 'answered') {
			return describeCall(call);
		}

		return whole.equals(call.bytes) ? undefined : `the answer has ${call.bytes.length} bytes and differs from the ${whole.length} bytes that the engine wrote`;
	},
	replayed: call => call.state === 'answered' && call.replayed ? undefined : `${describeCall(call)}, replayed: ${call.replayed}`,
	refused(call, step) {
		const reason = step.words[2];
		const ran = step.options.get('ran');
		const {refusal} = call;
		const isWanted = refusal && (reason === undefined || reason.split('|').includes(refusal.reason)) && (ran === undefined || ran === refusal.ran);
		return isWanted ? undefined : describeCall(call);
	},
	fast(call, step) {
		const limitMs = parseTime(getWord(step, 2, 'a time'));
		const firstMs = call.firstByteMs === undefined ? Infinity : call.firstByteMs - call.startedMs;
		return firstMs <= limitMs ? undefined : `the first byte came after ${firstMs} ms`;
	},
	cached(call, step) {
		const least = parseNumber(getWord(step, 2, 'a number of tokens'));
		return call.cachedTokens >= least ? undefined : `${call.cachedTokens} tokens were cached`;
	},
	uncached: call => call.state === 'answered' && call.cachedTokens === 0 ? undefined : `${describeCall(call)}, ${call.cachedTokens} tokens were cached`,
	on(call, step) {
		const names = getWord(step, 2, 'a target').split('|');
		return names.includes(call.target) ? undefined : `it ran on ${call.target}`;
	},
	'not-on'(call, step) {
		const names = getWord(step, 2, 'a target').split('|');
		return names.includes(call.target) ? `it ran on ${call.target}` : undefined;
	},
};

/** A figure that a scenario can bound. */
type Figure = (world: World, step: Step) => number;

const figures: Readonly<Record<string, Figure>> = {
	/** `figure ledger POOL …`: calls that took effect. */
	ledger: (world, step) => world.ledgers.get(getWord(step, 1, 'a pool'))?.length ?? 0,
	/** `figure doubled POOL …`: calls that took effect more than once, by their bodies. */
	doubled(world, step) {
		const bodies = (world.ledgers.get(getWord(step, 1, 'a pool')) ?? []).map(({path, body}) => `${path} ${body}`);
		return bodies.length - new Set(bodies).size;
	},
	/** `figure runs ENGINE …`: attempts that reached an engine. */
	runs: (world, step) => world.getEngine(getWord(step, 1, 'an engine')).runs.length,
	/** `figure crashes …`: crashes of all engines. */
	crashes: world => sum([...world.engines.values()].map(engine => engine.crashes)),
	/** `figure loads …`: most loads of weights that ran at once. */
	loads: world => world.weightStore.mostAtOnce,
	/** `figure loaded VERSION …`: engines that serve a weights version. */
	loaded: (world, step) => [...world.engines.values()].filter(engine => !engine.down && engine.weights === getWord(step, 1, 'a version')).length,
	/** `figure orders ENGINE …`: orders that took effect on an engine. */
	orders: (world, step) => world.getEngine(getWord(step, 1, 'an engine')).orders.length,
	/** `figure generation ROUTER …`: generation in force. */
	generation: (world, step) => world.getRouter(getWord(step, 1, 'a router')).router.configuration.current?.generation ?? 0,
	/** `figure answered FLOW …`: share of a flow's calls that were answered in full. */
	answered: (world, step) => shareOf(world, step, call => call.state === 'answered'),
	/** `figure in-time FLOW TIME …`: share of a flow's calls whose answer began in time and ended. */
	'in-time'(world, step) {
		const limitMs = parseTime(getWord(step, 2, 'a time'));
		return shareOf(world, step, call => call.state === 'answered' && (call.firstByteMs ?? Infinity) - call.startedMs <= limitMs);
	},
	/** `figure late FLOW TIME …`: share of a flow's calls that were answered, but began too late. */
	late(world, step) {
		const limitMs = parseTime(getWord(step, 2, 'a time'));
		return shareOf(world, step, call => call.state === 'answered' && (call.firstByteMs ?? Infinity) - call.startedMs > limitMs);
	},
	/** `figure counter ROUTER NAME [label=value…] …` */
	counter: (world, step) => readCounter(world, step),
};

const bounds = new Set(['is', 'least', 'most', 'same-as']);

export const checkSteps: StepTable = {
	/** `mark MARK FIGURE [words]`: keeps a figure, for `same-as=MARK`. */
	mark(world, step) {
		const [name = '', ...words] = step.words;
		world.marks.set(name, getFigure({...step, words})(world, {...step, words}));
	},

	/** `expect CALL CHECK [words]`; checks: answered, exact, running, cut, refused, replayed, fast, cached, on, not-on */
	expect(world, step) {
		const name = getWord(step, 0, 'a call');
		const check = callChecks[getWord(step, 1, 'a check')];
		if (!check) {
			throw new ScenarioError(`there is no check "${step.words[1]!}"; there are: ${Object.keys(callChecks).join(', ')}`);
		}

		const message = check(world.getCall(name), step);
		if (message !== undefined) {
			throw new ScenarioError(`expected ${name} ${step.words.slice(1).join(' ')}: ${message}`);
		}
	},

	/** `figure NAME [words] is=N | least=N | most=N | same-as=MARK` */
	figure(world, step) {
		checkBounds(world, getFigure(step)(world, step), step);
	},

	/** `reach NAME [words] is=N | least=N | most=N within=TIME`: like `figure`, but waits for it. */
	async reach(world, step) {
		const figure = getFigure(step);
		const limitMs = parseTime(step.options.get('within') ?? '10s');
		const inTime = await world.clock.advanceUntil(() => isWithin(world, figure(world, step), step), limitMs, 10);
		if (!inTime) {
			checkBounds(world, figure(world, step), step);
		}
	},
};

function shareOf(world: World, step: Step, isCounted: (call: CallerCall) => boolean): number {
	const flow = getWord(step, 1, 'a flow');
	const calls = [...world.calls].filter(([name]) => name.startsWith(`${flow}.`)).map(([, call]) => call);
	if (calls.length === 0) {
		throw new ScenarioError(`flow "${flow}" has sent nothing`);
	}

	return calls.filter(call => isCounted(call)).length / calls.length;
}

function getFigure(step: Step): Figure {
	const name = getWord(step, 0, 'a figure');
	const figure = figures[name];
	if (!figure) {
		throw new ScenarioError(`there is no figure "${name}"; there are: ${Object.keys(figures).join(', ')}`);
	}

	return figure;
}

function isWithin(world: World, value: number, step: Step): boolean {
	const read = (name: string) => {
		const text = step.options.get(name);
		return text === undefined ? undefined : parseNumber(text);
	};

	const mark = step.options.get('same-as');
	const is = mark === undefined ? read('is') : world.marks.get(mark);
	if (mark !== undefined && is === undefined) {
		throw new ScenarioError(`there is no mark "${mark}"; there are: ${[...world.marks.keys()].join(', ')}`);
	}

	return (is === undefined || value === is) && value >= (read('least') ?? -Infinity) && value <= (read('most') ?? Infinity);
}

function checkBounds(world: World, value: number, step: Step): void {
	if (![...bounds].some(name => step.options.has(name))) {
		throw new ScenarioError('a figure needs is=N, least=N, most=N or same-as=MARK');
	}

	if (!isWithin(world, value, step)) {
		throw new ScenarioError(`${step.words.join(' ')} is ${value}`);
	}
}

function readCounter(world: World, step: Step): number {
	const host = world.getRouter(getWord(step, 1, 'a router'));
	const name = getWord(step, 2, 'a counter');
	if (!isCounterName(name)) {
		throw new ScenarioError(`there is no counter "${name}"; there are: ${Object.keys(counterRules).join(', ')}`);
	}

	const labels = Object.fromEntries([...step.options].filter(([option]) => !bounds.has(option) && option !== 'within'));
	return host.telemetry.read(name, labels);
}

function isCounterName(name: string): name is CounterName {
	return Object.hasOwn(counterRules, name);
}

function describeCall(call: CallerCall): string {
	if (!call.refusal) {
		return `it is ${call.state} after ${call.bytes.length} bytes`;
	}

	const {reason, ran, message} = call.refusal;
	return `it was refused with ${reason} (ran: ${ran}): ${message}`;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
