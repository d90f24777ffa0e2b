/** Steps that inject faults. */
import {ScenarioError} from './error.ts';
import {getWord, parseNumber, type Step} from './parse.ts';
import type {StepTable} from './_step-handler.ts';
import type {Simulation} from './simulation.ts';
import type {EngineStandin, PlatformStandin, ServiceStandin} from '#standins';

/** Functions that inject a fault into a stand-in, by fault name; `value` is the `value` option of the step, or 1. */
type FaultTable<Subject> = Readonly<Record<string, (subject: Subject, value: number) => void>>;

const engineFaults: FaultTable<EngineStandin> = {
	crash(engine) {
		engine.crash();
	},
	restart(engine) {
		engine.restart();
	},
	reset(engine) {
		engine.breakConnections();
	},
	silence(engine) {
		engine.silenceConnections();
	},
	leave(engine) {
		engine.startDraining();
	},
	slow(engine, factor) {
		engine.setTimeFactor(factor);
	},
	'lose-events'(engine, ratio) {
		engine.setEventLossRatio(ratio);
	},
	'lose-order-answers'(engine, count) {
		engine.loseOrderResponses(count);
	},
	empty(engine, value) {
		engine.setEmptyAnswers(value === 1);
	},
};

const serviceFaults: FaultTable<ServiceStandin> = {
	crash(service) {
		service.crash();
	},
	restart(service) {
		service.restart();
	},
	leave(service) {
		service.startDraining();
	},
	'lose-answers'(service, count) {
		service.loseResponses(count);
	},
	silence(service, count) {
		service.silenceCalls(count);
	},
	refuse(service, count) {
		service.refuseCalls(count);
	},
};

const platformFaults: FaultTable<PlatformStandin> = {
	down(platform) {
		platform.setDown(true);
	},
	up(platform) {
		platform.setDown(false);
	},
	slow(platform, factor) {
		platform.setLatencyFactor(factor);
	},
	'lose-answers'(platform, count) {
		platform.loseResponses(count);
	},
};

export const faultSteps: StepTable = {
	/** `fault engine|service NAME… FAULT [value=N]` and `fault platform FAULT [value=N]`: injects a fault. */
	fault(simulation, step) {
		const name = getWord(step, 0, 'engine, service or platform');
		const apply = faultSubjects[name];
		if (!apply) {
			throwUnknown('subject', name, Object.keys(faultSubjects));
		}

		apply(simulation, step);
	},

	/** `kill ROUTER…`: stops the process without any clean-up. */
	kill(simulation, step) {
		for (const name of step.words) {
			simulation.getRouter(name).routerProcess.kill();
			simulation.network.leave(name);
		}
	},

	/** `pause ROUTER…`: suspends the process. */
	pause(simulation, step) {
		for (const name of step.words) {
			simulation.getRouter(name).routerProcess.pause();
		}
	},

	/** `resume ROUTER…`: continues a paused process. */
	resume(simulation, step) {
		for (const name of step.words) {
			simulation.getRouter(name).routerProcess.resume();
		}
	},

	/** `cut ROUTER…`: disconnects a router from its peers. */
	cut(simulation, step) {
		for (const name of step.words) {
			simulation.network.setIsolated(name, true);
		}
	},

	/** `cut-platform ROUTER…`: disconnects a router from the platform; other routers stay connected. */
	'cut-platform'(simulation, step) {
		for (const name of step.words) {
			simulation.getRouter(name).routerProcess.setPlatformCut(true);
		}
	},

	/** `join-platform ROUTER…`: connects a router to the platform again after `cut-platform`. */
	'join-platform'(simulation, step) {
		for (const name of step.words) {
			simulation.getRouter(name).routerProcess.setPlatformCut(false);
		}
	},

	/** `join ROUTER…`: connects a router to its peers again after `cut`. */
	join(simulation, step) {
		for (const name of step.words) {
			simulation.network.setIsolated(name, false);
		}
	},
};

const faultSubjects: Readonly<Record<string, (simulation: Simulation, step: Step) => void>> = {
	engine(simulation, step) {
		applyFault(step, engineFaults, name => simulation.getEngine(name));
	},
	service(simulation, step) {
		applyFault(step, serviceFaults, name => simulation.getService(name));
	},
	platform(simulation, step) {
		applyFault(step, platformFaults, () => simulation.platform);
	},
};

function applyFault<Subject>(step: Step, faults: FaultTable<Subject>, getSubject: (name: string) => Subject): void {
	const fault = step.words.at(-1)!;
	const apply = faults[fault];
	if (!apply) {
		throwUnknown('fault', fault, Object.keys(faults));
	}

	const value = parseNumber(step.options.get('value') ?? '1');
	const names = step.words.slice(1, -1);
	for (const name of names.length > 0 ? names : ['']) {
		apply(getSubject(name), value);
	}
}

function throwUnknown(kind: string, word: string, knownWords: readonly string[]): never {
	throw new ScenarioError(`there is no ${kind} "${word}"; there are: ${knownWords.join(', ')}`);
}
