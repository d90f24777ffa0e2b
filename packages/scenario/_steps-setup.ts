/** Steps that define the configuration and start engines, services and routers. */
import {
	getWord, parseNumber, parseTime, type Step,
} from './parse.ts';
import type {StepTable} from './_step-handler.ts';
import {digestCustomerKey, type Simulation} from './simulation.ts';
import {
	EngineStandin, ServiceStandin, type EngineOptions, type Execution,
} from '#standins';

const defaultZone = 'zone-a';

export const setupSteps: StepTable = {
	/** `seed N`: sets the seed of the next component; the components after it get N + 1, N + 2 and so on. */
	seed(simulation, step) {
		simulation.setSeed(parseNumber(getWord(step, 0, 'a number')));
	},

	/** `pool NAME kind=engine|service [model=M] [weights=W] [pieces=TOKENS] [slots=N] [loads=N] [least=N] [fencing=yes|no]`: defines a target pool, or changes the given options of one. */
	pool(simulation, step) {
		const name = getWord(step, 0, 'a name');
		const previous = simulation.draft.pools.get(name);
		simulation.draft.pools.set(name, {
			...previous,
			name,
			targets: previous?.targets ?? [],
			kind: step.options.get('kind') ?? previous?.kind ?? 'engine',
			...readTextOptions(step, {model: 'model', weights: 'weights'}),
			...readNumberOptions(step, {
				pieces: 'pieceTokens', slots: 'slots', loads: 'loadsAtOnce', least: 'minLoaded',
			}),
			...(step.options.has('fencing') ? {checksFencing: step.options.get('fencing') === 'yes'} : {}),
		});
	},

	/** `engine NAME… pool=P [zone=Z] [weights=W|none] [slots=N] [cache=TOKENS] [speed=TOKENS-PER-MS] [gap=TIME] [events=TIME] [fencing=yes|no]`: starts engines and adds them to a pool. `cache` is the capacity of the prefix cache, `speed` the prefill speed, `gap` the time between two tokens, and `events` the delay of cache events. */
	engine(simulation, step) {
		const pool = step.options.get('pool') ?? 'language';
		for (const name of step.words) {
			simulation.engines.set(name, new EngineStandin(simulation.clock, readEngineOptions(simulation, step, pool)));
			simulation.addTarget(pool, name, step.options.get('zone') ?? defaultZone);
		}
	},

	/** `service NAME… pool=P [zone=Z] [time=TIME]`: starts service members and adds them to a pool; the members of a pool share one ledger, named after the pool. */
	service(simulation, step) {
		const pool = step.options.get('pool') ?? 'ledger';
		const ledger: Execution[] = simulation.ledgers.get(pool) ?? [];
		simulation.ledgers.set(pool, ledger);
		for (const name of step.words) {
			const callMs = parseTime(step.options.get('time') ?? '20ms');
			simulation.services.set(name, new ServiceStandin(simulation.clock, {callMs, ledger, seed: simulation.allocateSeed()}));
			simulation.addTarget(pool, name, step.options.get('zone') ?? defaultZone);
		}
	},

	/** `route NAME pool=P [first=TIME] [timeout=TIME] [once=METHOD:/path]`: defines a route; `once` names a call that is not repeatable. */
	route(simulation, step) {
		const name = getWord(step, 0, 'a name');
		const once = step.options.get('once')?.split(':');
		simulation.draft.routes.set(name, {
			name,
			pool: step.options.get('pool'),
			...readTimeOptions(step, {first: 'firstTokenMs', timeout: 'timeoutMs'}),
			...(once ? {calls: [{method: once[0], path: once[1], repeatable: false}]} : {}),
		});
	},

	/** `customer NAME routes=A,B [rate=PER-SECOND] [burst=N] [concurrent=N] [weight=N] [priority=N]`: defines a customer. */
	customer(simulation, step) {
		const name = getWord(step, 0, 'a name');
		const {rate, ...limits} = readNumberOptions(step, {rate: 'rate', burst: 'burst', concurrent: 'concurrent'});
		simulation.draft.customers.set(name, {
			name,
			keyDigests: [digestCustomerKey(name)],
			routes: step.options.get('routes')?.split(',') ?? [],
			limit: {
				requestsPerSecond: rate ?? 1000, burst: 1000, concurrent: 1000, ...limits,
			},
			...readNumberOptions(step, {weight: 'weight', priority: 'priority'}),
		});
	},

	/** `publish`: publishes the configuration that has been defined so far. */
	async publish(simulation) {
		await simulation.publish();
	},

	/** `start ROUTER… [zone=Z]`: starts routers. */
	start(simulation, step) {
		for (const name of step.words) {
			simulation.startRouter(name, step.options.get('zone') ?? defaultZone);
		}
	},
};

function readEngineOptions(simulation: Simulation, step: Step, pool: string): EngineOptions {
	const draft = simulation.draft.pools.get(pool);
	const weights = step.options.get('weights') ?? draft?.weights ?? 'v1';
	return {
		model: draft?.model ?? 'm',
		...(weights === 'none' ? {} : {weights}),
		weightStore: simulation.weightStore,
		checksFencing: step.options.get('fencing') !== 'no',
		seed: simulation.allocateSeed(),
		...readNumberOptions(step, {slots: 'slots', cache: 'cacheTokens', speed: 'prefillTokensPerMs'}),
		...readTimeOptions(step, {gap: 'tokenGapMs', events: 'eventDelayMs'}),
	};
}

function readTextOptions(step: Step, fieldNames: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
	return readOptions(step, fieldNames, text => text);
}

function readNumberOptions(step: Step, fieldNames: Readonly<Record<string, string>>): Readonly<Record<string, number>> {
	return readOptions(step, fieldNames, parseNumber);
}

function readTimeOptions(step: Step, fieldNames: Readonly<Record<string, string>>): Readonly<Record<string, number>> {
	return readOptions(step, fieldNames, parseTime);
}

/**
 * Reads options of a step into fields.
 *
 * @param fieldNames field names, keyed by option name
 * @returns the fields whose options the step has
 */
function readOptions<Value>(step: Step, fieldNames: Readonly<Record<string, string>>, parse: (text: string) => Value): Readonly<Record<string, Value>> {
	const values: Record<string, Value> = {};
	for (const [option, field] of Object.entries(fieldNames)) {
		const text = step.options.get(option);
		if (text !== undefined) {
			values[field] = parse(text);
		}
	}

	return values;
}
