import t from 'tap';
import fc from 'fast-check';
import {TargetViews} from './target-views.ts';
import {prepareHash, type CacheEvent, type LoadReport} from '#core';

t.before(prepareHash);

const report: LoadReport = {
	incarnation: 'i1', weights: 'v1', model: 'm', running: 0, queued: 0, queuedTokens: 0, prefillTokensPerMs: 8, tokenGapMs: 12,
	ageMs: 0, leaving: false, cacheSequence: 0, loading: false,
};

function createViews() {
	const views = new TargetViews();
	views.applyReport('e1', report, 0);
	return views;
}

function findCached(views: TargetViews, keys: readonly string[]) {
	return views.findCachedPrefix('e1', keys);
}

function createStoredEvent(sequence: number, ...keys: readonly string[]): CacheEvent {
	return {sequence, kind: 'stored', keys};
}

t.test('a new incarnation clears all entries at once', async t => {
	const views = createViews();
	views.applyPrefill('e1', 'i1', ['a', 'b']);
	t.same(findCached(views, ['a', 'b', 'c']), {pieces: 2, suspect: 0});
	views.applyReport('e1', {...report, incarnation: 'i2'}, 10);
	t.equal(findCached(views, ['a', 'b']).pieces, 0);
	t.equal(views.getCacheSequence('e1'), 0);
});

t.test('late messages of a replaced incarnation are ignored', async t => {
	const views = createViews();
	views.applyReport('e1', {...report, incarnation: 'i2'}, 10);
	views.applyPrefill('e1', 'i1', ['a']);
	views.applyEvents('e1', {incarnation: 'i1', sequence: 1, events: [createStoredEvent(1, 'a')]});
	views.applyReport('e1', {...report, leaving: true}, 20);
	t.equal(views.get('e1').incarnation, 'i2');
	t.equal(views.get('e1').isDraining, false);
	t.equal(findCached(views, ['a']).pieces, 0);
});

t.test('other weights clear all entries', async t => {
	const views = createViews();
	views.applyPrefill('e1', 'i1', ['a']);
	views.applyReport('e1', {...report, weights: 'v2'}, 10);
	t.equal(findCached(views, ['a']).pieces, 0);
});

t.test('a refused connection clears all entries', async t => {
	const views = createViews();
	views.applyPrefill('e1', 'i1', ['a']);
	views.markUnreachable('e1');
	t.equal(findCached(views, ['a']).pieces, 0);
	t.equal(views.get('e1').isUnreachable, true);
	views.applyReport('e1', report, 10);
	t.equal(views.get('e1').isUnreachable, false);
});

t.test('a target stays marked as draining until it has a new incarnation', async t => {
	const views = createViews();
	views.markDraining('e1');
	views.applyReport('e1', report, 10);
	t.equal(views.get('e1').isDraining, true);
	views.applyReport('e1', {...report, incarnation: 'i2'}, 20);
	t.equal(views.get('e1').isDraining, false);
});

t.test('missing events make entries suspect until a later event or answer confirms them', async t => {
	const views = createViews();
	views.applyEvents('e1', {incarnation: 'i1', sequence: 1, events: [createStoredEvent(1, 'a', 'b')]});
	t.same(findCached(views, ['a', 'b']), {pieces: 2, suspect: 0});
	t.equal(views.applyEvents('e1', {incarnation: 'i1', sequence: 3, events: [createStoredEvent(3, 'c')]}), true);
	t.same(findCached(views, ['a', 'b']), {pieces: 2, suspect: 2});
	t.same(findCached(views, ['c']), {pieces: 1, suspect: 0});
	views.applyPrefill('e1', 'i1', ['a']);
	t.same(findCached(views, ['a', 'b']), {pieces: 2, suspect: 1});
});

t.test('a lost last event counts as missing', async t => {
	const views = createViews();
	t.equal(views.applyEvents('e1', {incarnation: 'i1', sequence: 2, events: [createStoredEvent(1, 'a')]}), true);
});

t.test('events in order and without gaps give the cached keys of the target', async () => {
	const event = fc.record({kind: fc.constantFrom('stored', 'evicted'), key: fc.nat({max: 20})});
	fc.assert(fc.property(fc.array(event, {maxLength: 60}), fc.integer({min: 1, max: 7}), (list, size) => {
		const views = createViews();
		const model = new Set<string>();
		const events = list.map(({kind, key}, index): CacheEvent => ({sequence: index + 1, kind, keys: [`k${key}`]}));
		let hasGap = false;
		for (let first = 0; first < events.length; first += size) {
			const batch = events.slice(first, first + size);
			hasGap ||= views.applyEvents('e1', {incarnation: 'i1', events: batch, sequence: batch.at(-1)!.sequence});
		}

		for (const {kind, keys} of events) {
			if (kind === 'stored') {
				model.add(keys[0]!);
			} else {
				model.delete(keys[0]!);
			}
		}

		return !hasGap && Array.from({length: 21}, (_, key) => `k${key}`).every(key =>
			findCached(views, [key]).pieces === (model.has(key) ? 1 : 0));
	}), {seed: 31});
});

t.test('a peer\'s report replaces its earlier one, and expires', async t => {
	const views = createViews();
	views.applyPeerWork('r2', [{target: 'e1', requests: 2, tokens: 4000}], 0);
	views.applyPeerWork('r3', [{target: 'e1', requests: 1, tokens: 1000}], 0);
	t.same(views.get('e1').sumPeerWork(100), {requests: 3, tokens: 5000});
	views.applyPeerWork('r2', [], 100);
	t.same(views.get('e1').sumPeerWork(100), {requests: 1, tokens: 1000});
	t.same(views.get('e1').sumPeerWork(5000), {requests: 0, tokens: 0});
});

t.test('holds at most the configured number of entries', async t => {
	const views = new TargetViews({maxEntriesPerTarget: 256});
	for (let index = 0; index < 2000; index++) {
		views.applyPrefill('e1', 'i1', [`a${index}`, `b${index}`]);
	}

	t.ok(views.entryCount <= 256);
});

t.test('a summary carries entries, but not to an instance that knows another incarnation', async t => {
	const first = createViews();
	first.applyPrefill('e1', 'i1', ['a', 'b']);
	const [summary] = first.exportSummaries(100);
	const second = new TargetViews();
	second.importSummary(summary!);
	t.same(findCached(second, ['a', 'b']), {pieces: 2, suspect: 0});
	const restarted = createViews();
	restarted.applyReport('e1', {...report, incarnation: 'i2'}, 10);
	restarted.importSummary(summary!);
	t.equal(findCached(restarted, ['a']).pieces, 0);
});

// Guards against a starting instance that forgets what its peers told it as soon as it reads the load of a target.
t.test('entries of a summary are kept when the first load report arrives, and cleared by other weights', t => {
	const first = createViews();
	first.applyPrefill('e1', 'i1', ['a', 'b']);
	const second = new TargetViews();
	second.importSummary(first.exportSummaries(100)[0]!);
	second.applyReport('e1', report, 10);
	t.same(findCached(second, ['a', 'b']), {pieces: 2, suspect: 0});
	second.applyReport('e1', {...report, weights: 'other'}, 20);
	t.equal(findCached(second, ['a', 'b']).pieces, 0);
	t.end();
});
