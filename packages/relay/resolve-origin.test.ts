import t from 'tap';
import type {ArchivedOrigin} from './_archive-reader.ts';
import type {OriginQuestion} from './origin-exchange.ts';
import {resolveOrigin, type ResumedStream} from './resolve-origin.ts';
import {originRetentionMs, StreamOrigins, type StreamOrigin} from './stream-origins.ts';
import {TargetSet} from './target-set.ts';
import type {VersionKnowledge, VersionsByPool} from './version-record.ts';
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
	const archive: {answer: ArchivedOrigin; reads: number} = {answer: {kind: 'absent'}, reads: 0};
	const state = {
		knowledge: 'unread' as VersionKnowledge,
		/** Versions in the record; absent if the store does not answer. */
		recorded: new Map() as VersionsByPool | undefined,
		peerVersions: new Map() as VersionsByPool, isPeerRefreshed: false,
		questions: [] as OriginQuestion[],
		handleRefresh() {
			// Nothing changes while the store is read.
		},
	};
	const resolve = async (changes: Partial<ResumedStream> = {}) => resolveOrigin({
		origins: new StreamOrigins(clock), targets, telemetry: createTelemetry({level: 'silent'}), versionRecord: {getKnowledge: () => state.knowledge},
		async refresh() {
			state.handleRefresh();
			return state.recorded;
		},
		archive: {
			async fetch() {
				archive.reads++;
				return archive.answer;
			},
		},
		exchange: {
			async request(question) {
				state.questions.push(question);
				return {origin: answer, versions: state.peerVersions, isRefreshed: state.isPeerRefreshed};
			},
		},
	}, {...resumed, ...changes});
	const resolveKind = async (changes: Partial<ResumedStream> = {}) => {
		const {kind} = await resolve(changes);
		return kind;
	};

	return {
		clock, targets, state, archive, resolve, resolveKind,
	};
}

t.test('while one software version is listed, what the record said decides whether a stream of unknown origin goes on', async t => {
	const cases = [['unread', 'unknown'], ['partial', 'any'], ['complete', 'any']] as const;
	for (const [knowledge, kind] of cases) {
		const {state, resolveKind} = start(['v2']);
		state.knowledge = knowledge;
		t.equal(await resolveKind(), kind, knowledge);
		t.equal(state.questions.length, 1, knowledge);
	}
});

t.test('an origin that a peer knows decides, whatever the record said', async t => {
	for (const knowledge of ['unread', 'partial', 'complete'] as const) {
		const {state, resolveKind} = start(['v2'], origin);
		state.knowledge = knowledge;
		t.equal(await resolveKind(), 'origin', knowledge);
	}
});

t.test('an instance that has seen the targets for the retention time needs no record', async t => {
	const {clock, resolveKind} = start(['v2']);
	await clock.advance(originRetentionMs);
	t.equal(await resolveKind(), 'any');
});

t.test('a record that is read when the stream is resumed counts', async t => {
	const read = start(['v2']);
	read.state.handleRefresh = () => {
		read.state.knowledge = 'complete';
	};

	t.equal(await read.resolveKind(), 'any');
	const several = start(['v2']);
	several.state.handleRefresh = () => {
		several.state.knowledge = 'complete';
		several.targets.recordVersions('p', ['v1']);
	};

	t.equal(await several.resolveKind(), 'unknown');
});

// Guards against an instance that is out of step and takes silence for news that nothing has changed (ORDER).
t.test('without an answer of the store or of a peer that has read it, no stream of unknown origin goes on', async t => {
	for (const [isPeerRefreshed, kind] of [[false, 'unknown'], [true, 'any']] as const) {
		const {clock, state, resolveKind} = start(['v2']);
		await clock.advance(originRetentionMs);
		Object.assign(state, {recorded: undefined, isPeerRefreshed});
		t.equal(await resolveKind(), kind);
		t.equal(await resolveKind({resumedRequestId: undefined}), 'unknown', 'without the id of its first request');
		t.strictSame(state.questions.map(({shouldRefresh}) => shouldRefresh), [true]);
	}
});

// Guards against versions that came and left while this instance was out of step.
t.test('versions that only the record or a peer knows of count', async t => {
	const byRecord = start(['v2']);
	Object.assign(byRecord.state, {knowledge: 'complete', recorded: new Map([['p', ['v1']]])});
	t.equal(await byRecord.resolveKind(), 'unknown');
	const byPeer = start(['v2']);
	Object.assign(byPeer.state, {knowledge: 'complete', peerVersions: new Map([['p', ['v1', 'v2']]])});
	t.equal(await byPeer.resolveKind(), 'unknown');
	t.strictSame(byPeer.state.questions.map(({isForAll}) => isForAll), [false, true], 'then all peers are asked for the origin');
});

// Guards against a target of another version that is listed after the decision and before the attempt.
t.test('a stream of unknown origin goes on only at the version on which the decision rests', async t => {
	const {state, resolve} = start(['v2', 'v2']);
	state.knowledge = 'complete';
	t.strictSame(await resolve(), {kind: 'any', softwareVersions: new Map([['p', 'v2']])});
	t.strictSame(await resolve({route: {...route, pools: [{pool: 'p', weight: 1}, {pool: 'empty', weight: 1}]}}), {kind: 'any', softwareVersions: new Map([['p', 'v2']])});
	const empty = start([]);
	empty.state.knowledge = 'complete';
	t.strictSame(await empty.resolve(), {kind: 'unknown'}, 'no version is known');
});

// Guards against links that older programs close on messages that they do not know.
t.test('all peers are asked only while several software versions serve', async t => {
	for (const [versions, isForAll] of [[['v2'], false], [['v1', 'v2'], true]] as const) {
		const {state, resolveKind} = start(versions);
		t.equal(await resolveKind(), 'unknown');
		t.strictSame(state.questions.map(question => question.isForAll), [isForAll]);
	}
});

t.test('a stream without the id of its first request is not asked for', async t => {
	const {state, resolveKind} = start(['v2']);
	t.equal(await resolveKind({resumedRequestId: undefined}), 'unknown');
	state.knowledge = 'complete';
	t.equal(await resolveKind({resumedRequestId: undefined}), 'any');
	t.equal(state.questions.length, 0);
});

// Guards against the refusal of streams that neither this instance nor a peer knows after all were killed (LOST).
t.test('a stream that only the archive knows goes on at its origin', async t => {
	const {archive, resolve} = start(['v1', 'v2']);
	archive.answer = {kind: 'found', origin};
	t.strictSame(await resolve(), {kind: 'origin', origin});
});

// Guards against streams that go on at a wrong version while the archive cannot be read (ORDER).
t.test('a stream that is not archived, or that cannot be looked up, stays refused', async t => {
	const {archive, resolveKind} = start(['v1', 'v2']);
	for (const kind of ['absent', 'unread'] as const) {
		archive.answer = {kind};
		t.equal(await resolveKind(), 'unknown');
	}

	t.equal(archive.reads, 2);
	t.equal(await resolveKind({resumedRequestId: undefined}), 'unknown');
	t.equal(archive.reads, 2, 'a stream without an id cannot be looked up');
});

t.test('the archive is not read for a stream that a peer knows or that can only have begun at one version', async t => {
	const known = start(['v1', 'v2'], origin);
	t.strictSame(await known.resolve(), {kind: 'origin', origin});
	const single = start(['v1']);
	single.state.knowledge = 'complete';
	t.equal(await single.resolveKind(), 'any');
	t.strictSame([known.archive.reads, single.archive.reads], [0, 0]);
});
