import t from 'tap';
import {resolveOrigin, type ResumedStream} from './resolve-origin.ts';
import {originRetentionMs, StreamOrigins, type StreamOrigin} from './stream-origins.ts';
import {TargetSet} from './target-set.ts';
import type {VersionKnowledge} from './version-record.ts';
import {ManualClock} from '#clock';
import {prepareHash, type RelayRoute} from '#core';
import {createTelemetry} from '#telemetry';

t.before(prepareHash);

const route: RelayRoute = {
	name: 'r', host: 'h', pathPrefix: '/', pools: [{pool: 'p', weight: 1}], isStream: true, retryPolicy: 'resume', maxTargets: 2,
	timeoutMs: 3000, promisedMs: 500, promisedGapMs: 400, priority: 0, isPublic: true,
};
const resumed: ResumedStream = {
	requestId: 'again', route, customer: 'ann', lastEventId: '4', resumedRequestId: 'first',
};
const origin: StreamOrigin = {pool: 'p', softwareVersion: 'v1'};

/** Starts an instance that has just listed targets of these versions, with a peer that answers `answer`. */
function start(versions: readonly string[], answer?: StreamOrigin) {
	const clock = new ManualClock();
	const targets = new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1});
	targets.update(versions.map((softwareVersion, index) => ({
		id: `t${index}`, incarnation: `t${index}@1`, startedWallMs: 0, pool: 'p', address: `127.0.0.1:${index + 1}`, zone: 'z', slots: 4,
		isDraining: false, softwareVersion, weights: new Map(),
	})));
	const state = {
		knowledge: 'unread' as VersionKnowledge, isUnderstood: true, requests: 0,
		handleRequest() {
			// Nothing changes while the peers are asked.
		},
	};
	const resolve = async (changes: Partial<ResumedStream> = {}) => {
		const {kind} = await resolveOrigin({
			origins: new StreamOrigins(clock), targets, telemetry: createTelemetry({level: 'silent'}), versionRecord: {getKnowledge: () => state.knowledge},
			exchange: {
				async request() {
					state.requests++;
					state.handleRequest();
					return answer;
				},
				isUnderstood: () => state.isUnderstood,
			},
		}, {...resumed, ...changes});
		return kind;
	};

	return {
		clock, targets, state, resolve,
	};
}

t.test('while one software version is listed, what the record said decides whether a stream of unknown origin goes on', async t => {
	const cases = [['unread', 'unknown', 1], ['partial', 'any', 1], ['complete', 'any', 0]] as const;
	for (const [knowledge, kind, requests] of cases) {
		const {state, resolve} = start(['v2']);
		state.knowledge = knowledge;
		t.equal(await resolve(), kind, knowledge);
		t.equal(state.requests, requests, knowledge);
	}
});

t.test('an origin that a peer knows decides before a record that is unread or not complete', async t => {
	for (const knowledge of ['unread', 'partial'] as const) {
		const {state, resolve} = start(['v2'], origin);
		state.knowledge = knowledge;
		t.equal(await resolve(), 'origin', knowledge);
	}
});

t.test('an instance that has seen the targets for the retention time needs no record', async t => {
	const {clock, state, resolve} = start(['v2']);
	await clock.advance(originRetentionMs);
	t.equal(await resolve(), 'any');
	t.equal(state.requests, 0);
});

t.test('a record that is read while the peers are asked counts', async t => {
	const read = start(['v2']);
	read.state.handleRequest = () => {
		read.state.knowledge = 'complete';
	};

	t.equal(await read.resolve(), 'any');
	const several = start(['v2']);
	several.state.handleRequest = () => {
		several.state.knowledge = 'complete';
		several.targets.recordVersions('p', ['v1']);
	};

	t.equal(await several.resolve(), 'unknown');
});

// Guards against links that older programs close on messages that they do not know.
t.test('peers that may not know the question are asked only while several software versions serve', async t => {
	for (const [versions, knowledge, kind, requests] of [
		[['v2'], 'partial', 'any', 0], [['v2'], 'unread', 'unknown', 0], [['v1', 'v2'], 'complete', 'unknown', 1],
	] as const) {
		const {state, resolve} = start(versions);
		state.isUnderstood = false;
		state.knowledge = knowledge;
		t.equal(await resolve(), kind);
		t.equal(state.requests, requests);
	}
});

t.test('a stream without the id of its first request is not asked for', async t => {
	const {state, resolve} = start(['v2']);
	t.equal(await resolve({resumedRequestId: undefined}), 'unknown');
	state.knowledge = 'complete';
	t.equal(await resolve({resumedRequestId: undefined}), 'any');
	t.equal(state.requests, 0);
});
