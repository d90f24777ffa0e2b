/** Steps that check calls and figures. */
import {Buffer} from 'node:buffer';
import type {CallerCall} from './_caller-call.ts';
import {ScenarioError} from './error.ts';
import {
	getWord, parseNumber, parseTime, type Step,
} from './parse.ts';
import type {StepTable} from './_step-handler.ts';
import type {Simulation} from './simulation.ts';
import {counterDefinitions, type CounterName} from '#telemetry';
import {createAnswerSlices} from '#standins';

/** Checks one property of a call; returns a description of the failure, or undefined. */
type CallCheck = (call: CallerCall, step: Step) => string | undefined;

const callChecks: Readonly<Record<string, CallCheck>> = {
	answered: call => call.state === 'answered' ? undefined : describeCall(call),
	running: call => call.state === 'running' ? undefined : describeCall(call),
	cut: call => call.state === 'cut' ? undefined : describeCall(call),
	exact(call) {
		const expected = Buffer.concat(createAnswerSlices(call.work));
		if (call.state !== 'answered') {
			return describeCall(call);
		}

		return expected.equals(call.bytes) ? undefined : `the answer has ${call.bytes.length} bytes and differs from the ${expected.length} bytes that the engine wrote`;
	},
	replayed: call => call.state === 'answered' && call.isReplayed ? undefined : `${describeCall(call)}, replayed: ${call.isReplayed}`,
	refused(call, step) {
		const reason = step.words[2];
		const ran = step.options.get('ran');
		const {refusal} = call;
		const isExpected = refusal && (reason === undefined || reason.split('|').includes(refusal.reason)) && (ran === undefined || ran === refusal.ran);
		return isExpected ? undefined : describeCall(call);
	},
	fast(call, step) {
		const limitMs = parseTime(getWord(step, 2, 'a time'));
		const firstByteDelayMs = call.firstByteMs === undefined ? Infinity : call.firstByteMs - call.startedMs;
		return firstByteDelayMs <= limitMs ? undefined : `the first byte came after ${firstByteDelayMs} ms`;
	},
	cached(call, step) {
		const minTokens = parseNumber(getWord(step, 2, 'a number of tokens'));
		return call.cachedTokens >= minTokens ? undefined : `${call.cachedTokens} tokens were cached`;
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

/** Computes a figure that a step can check against bounds. */
type FigureReader = (simulation: Simulation, step: Step) => number;

const figureReaders: Readonly<Record<string, FigureReader>> = {
	/** `figure ledger POOL …`: number of service calls that took effect. */
	ledger: (simulation, step) => simulation.ledgers.get(getWord(step, 1, 'a pool'))?.length ?? 0,
	/** `figure doubled POOL …`: number of repeated executions, where calls with equal path and body count as one call. */
	doubled(simulation, step) {
		const calls = (simulation.ledgers.get(getWord(step, 1, 'a pool')) ?? []).map(({path, body}) => `${path} ${body}`);
		return calls.length - new Set(calls).size;
	},
	/** `figure runs ENGINE …`: number of attempts that reached an engine. */
	runs: (simulation, step) => simulation.getEngine(getWord(step, 1, 'an engine')).attemptedRequestIds.length,
	/** `figure crashes …`: number of crashes, summed over all engines. */
	crashes: simulation => sum([...simulation.engines.values()].map(engine => engine.crashes)),
	/** `figure loads …`: maximum number of concurrent loads of weights. */
	loads: simulation => simulation.weightStore.peakConcurrentLoads,
	/** `figure loaded VERSION …`: number of engines that serve a weights version. */
	loaded: (simulation, step) => [...simulation.engines.values()].filter(engine => !engine.isDown && engine.weights === getWord(step, 1, 'a version')).length,
	/** `figure orders ENGINE …`: number of orders that took effect on an engine. */
	orders: (simulation, step) => simulation.getEngine(getWord(step, 1, 'an engine')).acceptedOrders.length,
	/** `figure generation ROUTER …`: generation in force on a router, or 0. */
	generation: (simulation, step) => simulation.getRouter(getWord(step, 1, 'a router')).router.configuration.current?.generation ?? 0,
	/** `figure answered FLOW …`: fraction of a flow's calls that were answered in full. */
	answered: (simulation, step) => computeFraction(simulation, step, call => call.state === 'answered'),
	/** `figure in-time FLOW TIME …`: fraction of a flow's calls that were answered in full with the first byte within TIME. */
	'in-time'(simulation, step) {
		const limitMs = parseTime(getWord(step, 2, 'a time'));
		return computeFraction(simulation, step, call => call.state === 'answered' && (call.firstByteMs ?? Infinity) - call.startedMs <= limitMs);
	},
	/** `figure late FLOW TIME …`: fraction of a flow's calls that were answered in full with the first byte after TIME. */
	late(simulation, step) {
		const limitMs = parseTime(getWord(step, 2, 'a time'));
		return computeFraction(simulation, step, call => call.state === 'answered' && (call.firstByteMs ?? Infinity) - call.startedMs > limitMs);
	},
	/** `figure counter ROUTER NAME [label=value…] …`: value of a metrics counter of a router. */
	counter: (simulation, step) => getCounterValue(simulation, step),
};

/** Options that bound a figure; the other options of a `counter` figure are labels. */
const boundOptions = new Set(['is', 'least', 'most', 'same-as']);

export const checkSteps: StepTable = {
	/** `mark MARK FIGURE [words]`: records a figure under a name, for `same-as=MARK`. */
	mark(simulation, step) {
		const [name = '', ...words] = step.words;
		simulation.marks.set(name, getFigureReader({...step, words})(simulation, {...step, words}));
	},

	/** `expect CALL CHECK [words]`; checks: answered, exact, running, cut, refused, replayed, fast, cached, uncached, on, not-on */
	expect(simulation, step) {
		const name = getWord(step, 0, 'a call');
		const check = callChecks[getWord(step, 1, 'a check')];
		if (!check) {
			throw new ScenarioError(`there is no check "${step.words[1]!}"; there are: ${Object.keys(callChecks).join(', ')}`);
		}

		const message = check(simulation.getCall(name), step);
		if (message !== undefined) {
			throw new ScenarioError(`expected ${name} ${step.words.slice(1).join(' ')}: ${message}`);
		}
	},

	/** `figure NAME [words] is=N | least=N | most=N | same-as=MARK`: checks a figure against bounds. */
	figure(simulation, step) {
		checkBounds(simulation, getFigureReader(step)(simulation, step), step);
	},

	/** `reach NAME [words] is=N | least=N | most=N within=TIME`: like `figure`, but waits until the figure is within its bounds. */
	async reach(simulation, step) {
		const readFigure = getFigureReader(step);
		const timeoutMs = parseTime(step.options.get('within') ?? '10s');
		const isInTime = await simulation.clock.advanceUntil(() => isWithinBounds(simulation, readFigure(simulation, step), step), timeoutMs, 10);
		if (!isInTime) {
			checkBounds(simulation, readFigure(simulation, step), step);
		}
	},
};

/** Computes the fraction of a flow's calls for which `isCounted` holds. */
function computeFraction(simulation: Simulation, step: Step, isCounted: (call: CallerCall) => boolean): number {
	const flow = getWord(step, 1, 'a flow');
	const calls = [...simulation.calls].filter(([name]) => name.startsWith(`${flow}.`)).map(([, call]) => call);
	if (calls.length === 0) {
		throw new ScenarioError(`flow "${flow}" has sent no calls`);
	}

	return calls.filter(call => isCounted(call)).length / calls.length;
}

function getFigureReader(step: Step): FigureReader {
	const name = getWord(step, 0, 'a figure');
	const reader = figureReaders[name];
	if (!reader) {
		throw new ScenarioError(`there is no figure "${name}"; there are: ${Object.keys(figureReaders).join(', ')}`);
	}

	return reader;
}

function isWithinBounds(simulation: Simulation, value: number, step: Step): boolean {
	const readBound = (name: string) => {
		const text = step.options.get(name);
		return text === undefined ? undefined : parseNumber(text);
	};

	const markName = step.options.get('same-as');
	const exactValue = markName === undefined ? readBound('is') : simulation.marks.get(markName);
	if (markName !== undefined && exactValue === undefined) {
		throw new ScenarioError(`there is no mark "${markName}"; there are: ${[...simulation.marks.keys()].join(', ')}`);
	}

	return (exactValue === undefined || value === exactValue) && value >= (readBound('least') ?? -Infinity) && value <= (readBound('most') ?? Infinity);
}

function checkBounds(simulation: Simulation, value: number, step: Step): void {
	if (![...boundOptions].some(name => step.options.has(name))) {
		throw new ScenarioError('a figure needs is=N, least=N, most=N or same-as=MARK');
	}

	if (!isWithinBounds(simulation, value, step)) {
		throw new ScenarioError(`${step.words.join(' ')} is ${value}`);
	}
}

function getCounterValue(simulation: Simulation, step: Step): number {
	const host = simulation.getRouter(getWord(step, 1, 'a router'));
	const name = getWord(step, 2, 'a counter');
	if (!isCounterName(name)) {
		throw new ScenarioError(`there is no counter "${name}"; there are: ${Object.keys(counterDefinitions).join(', ')}`);
	}

	const labels = Object.fromEntries([...step.options].filter(([option]) => !boundOptions.has(option) && option !== 'within'));
	return host.telemetry.getCounter(name, labels);
}

function isCounterName(name: string): name is CounterName {
	return Object.hasOwn(counterDefinitions, name);
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
