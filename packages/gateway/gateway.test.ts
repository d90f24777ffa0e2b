import t from 'tap';
import {Gateway, type RequestHead} from './gateway.ts';
import {ManualClock} from '#clock';
import {
	createRandom, createRefusal, prepareHash, type Refusal, type RelayConfiguration, type RelayPool, type RelayRequest, type RelayRoute,
} from '#core';
import type {OriginDecision, RelayCaller} from '#relay';
import {createTelemetry} from '#telemetry';

const route: RelayRoute = {
	name: 'r', host: 'h', pathPrefix: '/a/', pools: [{pool: 'p', weight: 1}], isStream: false, retryPolicy: 'any', maxTargets: 1,
	timeoutMs: 800, promisedMs: 100, promisedGapMs: 0, priority: 2, isPublic: false,
};
const prompt = {
	model: 'm', inputTokens: 10, maxOutputTokens: 5, parts: [],
};
const head: RequestHead = {
	requestId: 'a', method: 'GET', path: '/a/1', host: 'h', remainingMs: undefined, apiKey: 'k1', lastEventId: undefined, resumedRequestId: undefined, prompt: undefined, forwardedHeaders: [],
	headerBytes: 100, bodyBytes: undefined,
};
const caller: RelayCaller = {
	hasLeft: () => false,
	subscribeLeave: () => () => undefined,
	sendHead() {
		// No test reads what is sent.
	},
	write: () => true,
	async waitForDrain() {
		// The caller reads without delay.
	},
	finish() {
		// No test reads what is sent.
	},
	abort() {
		// No test reads what is sent.
	},
	refuse() {
		// No test reads what is sent.
	},
};

function createConfiguration(version: number, options: Partial<RelayConfiguration> = {}): RelayConfiguration {
	return {
		version, routes: [route, {
			...route, name: 'open', pathPrefix: '/open/', isPublic: true,
		}],
		pools: new Map([['p', {name: 'p', healthPath: '/', maxConnections: 9}]]), kvCacheStores: [],
		customers: new Map([['k1', {name: 'ann', isIsolated: false}], ['k2', {name: 'bo', isIsolated: true}]]),
		limits: {
			maxHeaderBytes: 1000, maxBodyBytes: 500, headerTimeoutMs: 1, idleTimeoutMs: 1,
		}, ...options,
	};
}

const runAnywhere: OriginDecision = {kind: 'any'};

function createGateway(decision = runAnywhere) {
	const clock = new ManualClock();
	const telemetry = createTelemetry({level: 'silent'});
	const runs: Array<readonly [RelayRequest, RelayPool]> = [];
	const gateway = new Gateway({
		clock, telemetry, random: createRandom(4), resolveOrigin: async () => decision,
		relay: {
			async run(request, pool) {
				runs.push([request, pool]);
			},
		},
	});
	const accept = (changes: Partial<RequestHead> = {}) => {
		const accepted = gateway.accept({...head, ...changes});
		if (!accepted.ok) {
			throw new TypeError(accepted.error.reason);
		}

		return accepted.value;
	};

	return {
		clock, telemetry, gateway, runs, accept,
	};
}

t.before(prepareHash);

t.test('nothing is accepted before the first configuration, and the refusal states a retry time', async t => {
	const {gateway, telemetry} = createGateway();
	t.match(gateway.accept(head), {ok: false, error: {reason: 'not_configured', ran: 'not_run', retryAfterMs: Number}});
	t.equal(telemetry.getCounter('refusals_total', {reason: 'not_configured', ran: 'not_run'}), 1);
});

const refusals: ReadonlyArray<readonly [string, Partial<RequestHead>, Refusal['reason']]> = [
	['an unknown host', {host: 'other'}, 'route_unknown'],
	['an unknown path', {path: '/b/1'}, 'route_unknown'],
	['no key', {apiKey: undefined}, 'unauthenticated'],
	['an unknown key', {apiKey: 'k9'}, 'unauthenticated'],
	['long headers', {headerBytes: 1001}, 'headers_too_large'],
	['a long body', {bodyBytes: 501}, 'body_too_large'],
];

for (const [name, changes, reason] of refusals) {
	t.test(`${name}: ${reason}`, async t => {
		const {gateway} = createGateway();
		gateway.applyConfiguration(createConfiguration(1));
		t.match(gateway.accept({...head, ...changes}), {ok: false, error: createRefusal(reason)});
	});
}

t.test('a public route needs no key', async t => {
	const {gateway, accept} = createGateway();
	gateway.applyConfiguration(createConfiguration(1));
	t.equal(accept({path: '/open/1', apiKey: undefined}).customer, undefined);
});

t.test('an older configuration never replaces a newer one', async t => {
	const {gateway} = createGateway();
	t.ok(gateway.applyConfiguration(createConfiguration(5)));
	t.notOk(gateway.applyConfiguration(createConfiguration(4)));
	t.notOk(gateway.applyConfiguration(createConfiguration(5)));
	t.equal(gateway.configuration?.version, 5);
});

t.test('the deadline is the caller\'s or the route\'s, whichever is sooner', async t => {
	const {clock, gateway, accept} = createGateway();
	gateway.applyConfiguration(createConfiguration(1));
	await clock.advance(50);
	t.equal(accept().deadlineMs, 850);
	t.equal(accept({remainingMs: 300}).deadlineMs, 350);
	t.equal(accept({remainingMs: 9000}).deadlineMs, 850);
});

t.test('an isolated customer has its own cache scope, and the shared scope changes when a customer is isolated', async t => {
	const {gateway, accept} = createGateway();
	gateway.applyConfiguration(createConfiguration(1));
	const shared = accept({prompt}).cacheScope;
	t.not(accept({prompt, apiKey: 'k2'}).cacheScope, shared);
	t.equal(accept().cacheScope, undefined, 'a request without a prompt has no scope');
	gateway.applyConfiguration(createConfiguration(2, {customers: new Map([['k1', {name: 'ann', isIsolated: false}], ['k3', {name: 'cy', isIsolated: true}]])}));
	t.not(accept({prompt}).cacheScope, shared);
});

t.test('an accepted request runs by the configuration under which it was accepted', async t => {
	const {gateway, accept, runs} = createGateway();
	gateway.applyConfiguration(createConfiguration(1));
	const accepted = accept();
	gateway.applyConfiguration(createConfiguration(2, {pools: new Map()}));
	await gateway.run(accepted, undefined, caller);
	t.match(runs, [[{id: 'a', configurationVersion: 1}, {name: 'p'}]]);
});

t.test('a stream that its caller resumes runs on the pool and the software version where it began', async t => {
	const pools = [{pool: 'p', weight: 1000}, {pool: 'q', weight: 1}];
	const {gateway, accept, runs} = createGateway({kind: 'origin', origin: {pool: 'q', softwareVersion: 'v2'}});
	gateway.applyConfiguration(createConfiguration(1, {
		routes: [{...route, pools}], pools: new Map(['p', 'q'].map(name => [name, {name, healthPath: '/', maxConnections: 9}])),
	}));
	await gateway.run(accept({lastEventId: '3', resumedRequestId: 'first'}), undefined, caller);
	t.match(runs, [[{softwareVersion: 'v2', lastEventId: '3'}, {name: 'q'}]]);
});

t.test('a resumed stream that may go on anywhere runs at the only software version of its pool', async t => {
	const pools = [{pool: 'p', weight: 1000}, {pool: 'q', weight: 1}];
	const {gateway, accept, runs} = createGateway({kind: 'any', softwareVersions: new Map([['q', 'v2']])});
	gateway.applyConfiguration(createConfiguration(1, {
		routes: [{...route, pools}], pools: new Map(['p', 'q'].map(name => [name, {name, healthPath: '/', maxConnections: 9}])),
	}));
	await gateway.run(accept({lastEventId: '3', resumedRequestId: 'first'}), undefined, caller);
	t.match(runs, [[{softwareVersion: 'v2', lastEventId: '3'}, {name: 'q'}]], 'no version is known of the other pool');
});

t.test('a stream that cannot be resumed is refused as not run, with a retry time', async t => {
	for (const [kind, reason] of [['unknown', 'stream_origin_unknown'], ['moved', 'stream_origin_gone']] as const) {
		const {gateway, accept, runs} = createGateway({kind});
		gateway.applyConfiguration(createConfiguration(1));
		const refusedWith: Refusal[] = [];
		await gateway.run(accept({lastEventId: '3'}), undefined, {
			...caller, refuse(refusal) {
				refusedWith.push(refusal);
			},
		});
		t.match([refusedWith, runs], [[{
			reason, status: 503, ran: 'not_run', retryAfterMs: Number,
		}], []]);
	}
});

t.test('a request is refused if its route names an unknown pool', async t => {
	const {gateway, accept, runs} = createGateway();
	gateway.applyConfiguration(createConfiguration(1, {pools: new Map()}));
	const refusedWith: Refusal[] = [];
	await gateway.run(accept(), undefined, {
		...caller, refuse(refusal) {
			refusedWith.push(refusal);
		},
	});
	t.match(refusedWith, [{reason: 'no_target', ran: 'not_run'}]);
	t.equal(runs.length, 0);
});

/** A gateway before a stub of the limits, which refuses costs above 50 and records what it is given. */
function createLimitedGateway(runState: string) {
	const clock = new ManualClock();
	const calls: Array<readonly unknown[]> = [];
	const gateway = new Gateway({
		clock, telemetry: createTelemetry({level: 'silent'}), random: createRandom(4), resolveOrigin: async () => runAnywhere, relay: {run: async () => runState},
		customerLimits: {
			setLimits(limits) {
				calls.push(['limits', ...limits.keys()]);
			},
			admit(customer, cost) {
				calls.push(['admit', customer, cost]);
				return cost > 50 ? 700 : undefined;
			},
			refund(customer, cost) {
				calls.push(['refund', customer, cost]);
			},
		},
	});
	const limit = {
		unit: 'tokens', perSecond: 10, burst: 20, plainTokens: 7,
	} as const;
	gateway.applyConfiguration(createConfiguration(1, {customers: new Map([['k1', {name: 'ann', isIsolated: false, limit}], ['k2', {name: 'bo', isIsolated: false}]])}));
	return {gateway, calls, limit};
}

// Guards against a cost that is not that of the header, or a customer without a limit that is asked for one.
t.test('a request costs its stated tokens or those of a plain one, and is refused with 429 over the limit', async t => {
	const {gateway, calls} = createLimitedGateway('ran');
	t.match(gateway.accept({...head, statedTokens: 51}), {
		ok: false, error: {
			reason: 'rate_limited', status: 429, ran: 'not_run', retryAfterMs: 700,
		},
	});
	t.match(gateway.accept({...head, statedTokens: 50}), {ok: true});
	t.match(gateway.accept(head), {ok: true});
	t.match(gateway.accept({...head, apiKey: 'k2', statedTokens: 51}), {ok: true});
	t.strictSame(calls, [['limits', 'ann'], ['admit', 'ann', 51], ['admit', 'ann', 50], ['admit', 'ann', 7]]);
});

// Guards against a customer that pays for what has not run, or does not pay for what may have.
t.test('a request that has not run is refunded once, and no other', async t => {
	for (const [runState, refunds] of [['not_run', 1], ['unknown', 0], ['ran', 0]] as const) {
		const {gateway, calls} = createLimitedGateway(runState);
		const accepted = gateway.accept(head);
		if (accepted.ok) {
			await gateway.run(accepted.value, undefined, caller);
			gateway.finish(accepted.value);
			gateway.finish(accepted.value);
		}

		t.equal(calls.filter(([call]) => call === 'refund').length, refunds, runState);
	}

	const {gateway, calls} = createLimitedGateway('ran');
	const accepted = gateway.accept(head);
	if (accepted.ok) {
		gateway.finish(accepted.value);
	}

	t.strictSame(calls.at(-1), ['refund', 'ann', 7], 'a request whose body did not arrive');
});

// Guards against a limit that falls away because a new one cannot be parsed.
t.test('a malformed limit leaves the one in force, also in later configurations', async t => {
	const {gateway, calls, limit} = createLimitedGateway('ran');
	for (const version of [2, 3]) {
		gateway.applyConfiguration(createConfiguration(version, {customers: new Map([['k9', {name: 'ann', isIsolated: false, isLimitMalformed: true}]])}));
		t.strictSame(gateway.configuration?.customers?.get('k9')?.limit, limit);
	}

	gateway.applyConfiguration(createConfiguration(4));
	t.strictSame(calls.slice(-3), [['limits', 'ann'], ['limits', 'ann'], ['limits']]);
});
