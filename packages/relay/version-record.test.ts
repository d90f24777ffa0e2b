import t from 'tap';
import {originRetentionMs} from './stream-origins.ts';
import {TargetSet} from './target-set.ts';
import {VersionRecord} from './version-record.ts';
import {ManualClock} from '#clock';
import type {RelayTarget} from '#core';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const key = 'software/versions';

function createTargets(versions: Readonly<Record<string, readonly string[]>>): readonly RelayTarget[] {
	return Object.entries(versions).flatMap(([pool, ofPool], poolIndex) => ofPool.map((softwareVersion, index) => ({
		id: `${pool}-${index}`, incarnation: `${pool}-${softwareVersion}-${index}`, startedWallMs: 0, pool, address: `127.0.0.${poolIndex}:${index + 1}`, zone: 'z', slots: 4,
		isDraining: false, softwareVersion, weights: new Map(),
	})));
}

function start() {
	const clock = new ManualClock();
	const store = new PlatformStandin(clock);
	const telemetry = createTelemetry({level: 'silent'});

	/** Starts an instance of this rank that sees these versions; no targets are listed yet without them. */
	const startInstance = (rank: number, versions?: Readonly<Record<string, readonly string[]>>) => {
		const targets = new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1});
		const setVersions = (next: Readonly<Record<string, readonly string[]>>) => {
			targets.update(createTargets(next));
		};

		if (versions) {
			setVersions(versions);
		}

		const stopping = new AbortController();
		t.teardown(() => {
			stopping.abort();
		});
		const state = {
			isAnswering: true,
			handleRefresh() {
				// The list is up to date.
			},
		};
		const record = new VersionRecord({
			clock, telemetry, store, kind: 'software', targets, getRank: () => rank,
			async refreshTargets() {
				state.handleRefresh();
				return state.isAnswering;
			},
		});
		void record.run(stopping.signal);
		return {
			targets, record, state, setVersions, listVersions: () => targets.listVersions('p', originRetentionMs),
			stop() {
				stopping.abort();
			},
		};
	};

	const readRecord = async (): Promise<unknown> => {
		const got = store.get(key);
		await clock.advance(10);
		const stored = await got;
		return stored.ok && stored.value ? JSON.parse(stored.value.value) : undefined;
	};

	return {
		clock, store, startInstance, readRecord,
	};
}

t.test('the first versions are written once, again when they are known to be complete, and nothing while they stay', async t => {
	const {clock, store, startInstance, readRecord} = start();
	const instances = [0, 1, 2, 3].map(rank => startInstance(rank, {p: ['v1', 'v1'], q: ['v7']}));
	await clock.advance(6000);
	t.strictSame(await readRecord(), {pools: {p: ['v1'], q: ['v7']}, isComplete: false});
	t.equal(store.served.write, 1);
	await clock.advance(originRetentionMs);
	t.strictSame(await readRecord(), {pools: {p: ['v1'], q: ['v7']}, isComplete: true});
	const {read} = store.served;
	await clock.advance(120_000);
	t.strictSame(store.served, {read, write: 2});
	t.strictSame(instances.map(({record}) => record.getKnowledge('p')), ['partial', 'partial', 'partial', 'partial']);
});

t.test('a version is added at once, and removed when the writer has been without it for the retention time', async t => {
	const {clock, startInstance, readRecord} = start();
	const {setVersions} = startInstance(0, {p: ['v1']});
	await clock.advance(40_000);
	setVersions({p: ['v1', 'v2']});
	await clock.advance(1000);
	t.match(await readRecord(), {pools: {p: ['v1', 'v2']}});
	setVersions({p: ['v2', 'v2']});
	await clock.advance(originRetentionMs - 1000);
	t.match(await readRecord(), {pools: {p: ['v1', 'v2']}});
	await clock.advance(2000);
	t.strictSame(await readRecord(), {pools: {p: ['v2']}, isComplete: true});
	setVersions({});
	await clock.advance(originRetentionMs + 1000);
	t.strictSame(await readRecord(), {pools: {}, isComplete: true}, 'a pool without targets leaves the record');
});

// Guards against a restart that makes an instance forget the versions before it.
t.test('the versions in the record count as served until a reader starts, by its own clock', async t => {
	const {clock, startInstance, readRecord} = start();
	const first = startInstance(0, {p: ['v1']});
	await clock.advance(40_000);
	first.stop();
	await clock.advance(1_000_000);
	const second = startInstance(0, {p: ['v2']});
	await clock.advance(100);
	t.equal(second.record.getKnowledge('p'), 'complete');
	t.equal(second.record.getKnowledge('q'), 'partial', 'a pool that the record does not hold');
	t.strictSame(second.listVersions(), ['v2', 'v1']);
	await clock.advance(originRetentionMs - 1000);
	t.match(await readRecord(), {pools: {p: ['v1', 'v2']}});
	await clock.advance(2000);
	t.strictSame(second.listVersions(), ['v2']);
	t.match(await readRecord(), {pools: {p: ['v2']}});
});

t.test('an instance without a list of targets removes no version', async t => {
	const {clock, startInstance, readRecord} = start();
	const first = startInstance(0, {p: ['v1']});
	await clock.advance(40_000);
	first.stop();
	startInstance(0);
	await clock.advance(200_000);
	t.match(await readRecord(), {pools: {p: ['v1']}});
});

t.test('the record is read as soon as the store answers', async t => {
	const {clock, store, startInstance} = start();
	const first = startInstance(0, {p: ['v1']});
	await clock.advance(40_000);
	first.stop();
	store.setDown(true);
	const second = startInstance(0, {p: ['v2']});
	await clock.advance(20_000);
	t.equal(second.record.getKnowledge('p'), 'unread');
	store.setDown(false);
	await clock.advance(1500);
	t.equal(second.record.getKnowledge('p'), 'complete');
	t.strictSame(second.listVersions(), ['v2', 'v1']);
});

t.test('the second in rank writes if the first one is cut off; others never do', async t => {
	const {clock, store, startInstance, readRecord} = start();
	startInstance(2, {p: ['v1']});
	startInstance(9, {p: ['v1']});
	await clock.advance(10_000);
	t.equal(store.served.write, 0);
	startInstance(1, {p: ['v1']});
	await clock.advance(5000);
	t.match(await readRecord(), {pools: {p: ['v1']}});
});

t.test('of two writers at once, neither removes what the other has added', async t => {
	const {clock, startInstance, readRecord} = start();
	const a = startInstance(0, {p: ['v1']});
	const b = startInstance(0, {p: ['v1']});
	await clock.advance(40_000);
	a.setVersions({p: ['v1', 'v2']});
	b.setVersions({p: ['v1', 'v3']});
	await clock.advance(5000);
	t.match(await readRecord(), {pools: {p: ['v1', 'v2', 'v3']}});
});

t.test('a write whose answer is lost is not made twice', async t => {
	const {clock, store, startInstance, readRecord} = start();
	store.loseResponses(1);
	startInstance(0, {p: ['v1']});
	await clock.advance(10_000);
	t.match(await readRecord(), {pools: {p: ['v1']}});
	t.equal(store.served.write, 1);
});

t.test('a record that cannot be decoded tells nothing and is replaced', async t => {
	for (const value of ['bytes', '{"pools":{"p":"v1"}}', 'null']) {
		const {clock, store, startInstance, readRecord} = start();
		void store.put(key, value);
		await clock.advance(10);
		const {record} = startInstance(0, {p: ['v1']});
		await clock.advance(5000);
		t.equal(record.getKnowledge('p'), 'unread');
		t.strictSame(await readRecord(), {pools: {p: ['v1']}, isComplete: false});
		await clock.advance(1000);
		t.equal(startInstance(3, {p: ['v1']}).record.getKnowledge('p'), 'unread');
	}
});

// Guards against a record that a store lost when it came back from an older copy.
t.test('when the store has come back, the record is checked and written again', async t => {
	const {clock, store, startInstance, readRecord} = start();
	const instances = [0, 1, 2].map(rank => startInstance(rank, {p: ['v1']}));
	await clock.advance(40_000);
	void store.remove(key);
	await clock.advance(10);
	const {read} = store.served;
	for (const {record} of instances) {
		record.markDoubtful();
	}

	await clock.advance(5000);
	t.equal(store.served.read - read, 2, 'only the writers read it');
	t.strictSame(await readRecord(), {pools: {p: ['v1']}, isComplete: true});
});

// Guards against a writer that is out of step and removes a version that has come back since it last heard of the targets.
t.test('a writer removes versions only by a list of the targets as they are now', async t => {
	for (const isAnswering of [true, false]) {
		const {clock, startInstance, readRecord} = start();
		const {state, setVersions} = startInstance(0, {p: ['v1', 'v2']});
		await clock.advance(40_000);
		setVersions({p: ['v1']});
		Object.assign(state, {
			isAnswering, handleRefresh() {
				setVersions(isAnswering ? {p: ['v1', 'v2']} : {p: ['v1']});
			},
		});
		await clock.advance(originRetentionMs + 5000);
		t.match(await readRecord(), {pools: {p: ['v1', 'v2']}}, `the store answers: ${isAnswering}`);
	}
});
