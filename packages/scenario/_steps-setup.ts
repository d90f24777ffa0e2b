/** Steps that define the configuration and start the parts. */
import {
	getWord, parseNumber, parseTime, type Step,
} from './parse.ts';
import type {StepTable} from './_step.ts';
import {digestCustomerKey, type World} from './world.ts';
import {
	EngineStandin, ServiceStandin, type EngineOptions, type Execution,
} from '#standins';

const defaultZone = 'zone-a';

export const setupSteps: StepTable = {
	/** `seed N`: seeds of what starts after it. */
	seed(world, step) {
		world.setSeed(parseNumber(getWord(step, 0, 'a number')));
	},

	/** `pool NAME kind=engine|service [model=M] [weights=W] [pieces=TOKENS] [slots=N] [loads=N] [least=N] [fencing=yes|no]` */
	pool(world, step) {
		const name = getWord(step, 0, 'a name');
		const old = world.draft.pools.get(name);
		world.draft.pools.set(name, {
			...old,
			name,
			targets: old?.targets ?? [],
			kind: step.options.get('kind') ?? old?.kind ?? 'engine',
			...takeText(step, {model: 'model', weights: 'weights'}),
			...takeNumbers(step, {
				pieces: 'pieceTokens', slots: 'slots', loads: 'loadsAtOnce', least: 'minLoaded',
			}),
			...(step.options.has('fencing') ? {checksFencing: step.options.get('fencing') === 'yes'} : {}),
		});
	},

	/** `engine NAME… pool=P [zone=Z] [weights=W|none] [slots=N] [cache=TOKENS] [speed=TOKENS-PER-MS] [gap=TIME] [events=TIME] [fencing=yes|no]` */
	engine(world, step) {
		const pool = step.options.get('pool') ?? 'language';
		for (const name of step.words) {
			world.engines.set(name, new EngineStandin(world.clock, readEngineOptions(world, step, pool)));
			world.addTarget(pool, name, step.options.get('zone') ?? defaultZone);
		}
	},

	/** `service NAME… pool=P [zone=Z] [time=TIME]`: members share one ledger, named after the pool. */
	service(world, step) {
		const pool = step.options.get('pool') ?? 'ledger';
		const ledger: Execution[] = world.ledgers.get(pool) ?? [];
		world.ledgers.set(pool, ledger);
		for (const name of step.words) {
			const callMs = parseTime(step.options.get('time') ?? '20ms');
			world.services.set(name, new ServiceStandin(world.clock, {callMs, ledger, seed: world.takeSeed()}));
			world.addTarget(pool, name, step.options.get('zone') ?? defaultZone);
		}
	},

	/** `route NAME pool=P [first=TIME] [timeout=TIME] [once=METHOD:/path]` */
	route(world, step) {
		const name = getWord(step, 0, 'a name');
		const once = step.options.get('once')?.split(':');
		world.draft.routes.set(name, {
			name,
			pool: step.options.get('pool'),
			...takeTimes(step, {first: 'firstTokenMs', timeout: 'timeoutMs'}),
			...(once ? {calls: [{method: once[0], path: once[1], repeatable: false}]} : {}),
		});
	},

	/** `customer NAME routes=A,B [rate=PER-SECOND] [burst=N] [concurrent=N] [weight=N] [priority=N]` */
	customer(world, step) {
		const name = getWord(step, 0, 'a name');
		const {rate, ...limits} = takeNumbers(step, {rate: 'rate', burst: 'burst', concurrent: 'concurrent'});
		world.draft.customers.set(name, {
			name,
			keyDigests: [digestCustomerKey(name)],
			routes: step.options.get('routes')?.split(',') ?? [],
			limit: {
				requestsPerSecond: rate ?? 1000, burst: 1000, concurrent: 1000, ...limits,
			},
			...takeNumbers(step, {weight: 'weight', priority: 'priority'}),
		});
	},

	/** `publish`: commits what was defined so far. */
	async publish(world) {
		await world.publish();
	},

	/** `start ROUTER… [zone=Z]` */
	start(world, step) {
		for (const name of step.words) {
			world.startRouter(name, step.options.get('zone') ?? defaultZone);
		}
	},
};

function readEngineOptions(world: World, step: Step, pool: string): EngineOptions {
	const draft = world.draft.pools.get(pool);
	const weights = step.options.get('weights') ?? draft?.weights ?? 'v1';
	return {
		model: draft?.model ?? 'm',
		...(weights === 'none' ? {} : {weights}),
		weightStore: world.weightStore,
		checksFencing: step.options.get('fencing') !== 'no',
		seed: world.takeSeed(),
		...takeNumbers(step, {slots: 'slots', cache: 'cacheTokens', speed: 'prefillTokensPerMs'}),
		...takeTimes(step, {gap: 'tokenGapMs', events: 'eventDelayMs'}),
	};
}

function takeText(step: Step, names: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
	return takeOptions(step, names, text => text);
}

function takeNumbers(step: Step, names: Readonly<Record<string, string>>): Readonly<Record<string, number>> {
	return takeOptions(step, names, parseNumber);
}

function takeTimes(step: Step, names: Readonly<Record<string, string>>): Readonly<Record<string, number>> {
	return takeOptions(step, names, parseTime);
}

/** Options of a step under the names that the configuration gives them. */
function takeOptions<Value>(step: Step, names: Readonly<Record<string, string>>, parse: (text: string) => Value): Readonly<Record<string, Value>> {
	const taken: Record<string, Value> = {};
	for (const [option, field] of Object.entries(names)) {
		const text = step.options.get(option);
		if (text !== undefined) {
			taken[field] = parse(text);
		}
	}

	return taken;
}
