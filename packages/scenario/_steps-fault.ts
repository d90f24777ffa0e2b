/** Steps that bring about failures. */
import {ScenarioError} from './error.ts';
import {getWord, parseNumber, type Step} from './parse.ts';
import type {StepTable} from './_step.ts';
import type {World} from './world.ts';
import type {EngineStandin, PlatformStandin, ServiceStandin} from '#standins';

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
		engine.leave();
	},
	slow(engine, factor) {
		engine.slowDown(factor);
	},
	'lose-events'(engine, share) {
		engine.loseEvents(share);
	},
	'lose-order-answers'(engine, count) {
		engine.loseOrderAnswers(count);
	},
	empty(engine, on) {
		engine.answerEmpty(on === 1);
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
		service.leave();
	},
	'lose-answers'(service, count) {
		service.loseAnswers(count);
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
		platform.slowDown(factor);
	},
	'lose-answers'(platform, count) {
		platform.loseAnswers(count);
	},
};

export const faultSteps: StepTable = {
	/** `fault engine|service NAME… FAULT [value=N]` and `fault platform FAULT [value=N]` */
	fault(world, step) {
		const name = getWord(step, 0, 'engine, service or platform');
		const apply = faultSubjects[name];
		if (!apply) {
			reportUnknown('subject', name, Object.keys(faultSubjects));
		}

		apply(world, step);
	},

	/** `kill ROUTER…`: the process ends without any clean-up. */
	kill(world, step) {
		for (const name of step.words) {
			world.getRouter(name).lifeline.kill();
			world.network.leave(name);
		}
	},

	/** `pause ROUTER…`: the process stands still. */
	pause(world, step) {
		for (const name of step.words) {
			world.getRouter(name).lifeline.pause();
		}
	},

	/** `resume ROUTER…` */
	resume(world, step) {
		for (const name of step.words) {
			world.getRouter(name).lifeline.resume();
		}
	},

	/** `cut ROUTER…`: peers and router no longer hear each other. */
	cut(world, step) {
		for (const name of step.words) {
			world.network.setCut(name, true);
		}
	},

	/** `cut-platform ROUTER…`: the router no longer reaches the platform, while others do. */
	'cut-platform'(world, step) {
		for (const name of step.words) {
			world.getRouter(name).lifeline.setPlatformCut(true);
		}
	},

	/** `join-platform ROUTER…`: ends it. */
	'join-platform'(world, step) {
		for (const name of step.words) {
			world.getRouter(name).lifeline.setPlatformCut(false);
		}
	},

	/** `join ROUTER…`: ends a cut. */
	join(world, step) {
		for (const name of step.words) {
			world.network.setCut(name, false);
		}
	},
};

const faultSubjects: Readonly<Record<string, (world: World, step: Step) => void>> = {
	engine(world, step) {
		applyFault(step, engineFaults, name => world.getEngine(name));
	},
	service(world, step) {
		applyFault(step, serviceFaults, name => world.getService(name));
	},
	platform(world, step) {
		applyFault(step, platformFaults, () => world.platform);
	},
};

function applyFault<Subject>(step: Step, faults: FaultTable<Subject>, getSubject: (name: string) => Subject): void {
	const fault = step.words.at(-1)!;
	const apply = faults[fault];
	if (!apply) {
		reportUnknown('fault', fault, Object.keys(faults));
	}

	const value = parseNumber(step.options.get('value') ?? '1');
	const names = step.words.slice(1, -1);
	for (const name of names.length > 0 ? names : ['']) {
		apply(getSubject(name), value);
	}
}

function reportUnknown(kind: string, word: string, known: readonly string[]): never {
	throw new ScenarioError(`there is no ${kind} "${word}"; there are: ${known.join(', ')}`);
}
