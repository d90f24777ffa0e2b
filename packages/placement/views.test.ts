import t from 'tap';
import fc from 'fast-check';
import {TargetViews} from './views.ts';
import {prepareHash, type CacheEvent, type LoadReport} from '#core';

t.before(prepareHash);

const report: LoadReport = {
	incarnation: 'i1', weights: 'v1', model: 'm', running: 0, queued: 0, queuedTokens: 0, prefillTokensPerMs: 8, tokenGapMs: 12,
	ageMs: 0, leaving: false, cacheSequence: 0, loading: false,
};

function start() {
	const views = new TargetViews();
	views.applyReport('e1', report, 0);
	return views;
}

function countMatched(views: TargetViews, keys: readonly string[]) {
	return views.matchKeys('e1', keys);
}

function makeStored(sequence: number, ...keys: readonly string[]): CacheEvent {
	return {sequence, kind: 'stored', keys};
}

t.test('a new incarnation drops all entries at once', async t => {
	const views = start();
	views.applyPrefill('e1', 'i1', ['a', 'b']);
	t.same(countMatched(views, ['a', 'b', 'c']), {pieces: 2, suspect: 0});
	views.applyReport('e1', {...report, incarnation: 'i2'}, 10);
	t.equal(countMatched(views, ['a', 'b']).pieces, 0);
	t.equal(views.getSequence('e1'), 0);
});

t.test('nothing of a left incarnation comes back', async t => {
	const views = start();
	views.applyReport('e1', {...report, incarnation: 'i2'}, 10);
	views.applyPrefill('e1', 'i1', ['a']);
	views.applyEvents('e1', {incarnation: 'i1', sequence: 1, events: [makeStored(1, 'a')]});
	views.applyReport('e1', {...report, leaving: true}, 20);
	t.equal(views.get('e1').incarnation, 'i2');
	t.equal(views.get('e1').leaving, false);
	t.equal(countMatched(views, ['a']).pieces, 0);
});

t.test('other weights drop all entries', async t => {
	const views = start();
	views.applyPrefill('e1', 'i1', ['a']);
	views.applyReport('e1', {...report, weights: 'v2'}, 10);
	t.equal(countMatched(views, ['a']).pieces, 0);
});

t.test('a refused connection drops all entries', async t => {
	const views = start();
	views.applyPrefill('e1', 'i1', ['a']);
	views.markUnreachable('e1');
	t.equal(countMatched(views, ['a']).pieces, 0);
	t.equal(views.get('e1').unreachable, true);
	views.applyReport('e1', report, 10);
	t.equal(views.get('e1').unreachable, false);
});

t.test('leaving stays for the incarnation', async t => {
	const views = start();
	views.markLeaving('e1');
	views.applyReport('e1', report, 10);
	t.equal(views.get('e1').leaving, true);
	views.applyReport('e1', {...report, incarnation: 'i2'}, 20);
	t.equal(views.get('e1').leaving, false);
});

t.test('a gap makes entries suspect until later evidence', async t => {
	const views = start();
	views.applyEvents('e1', {incarnation: 'i1', sequence: 1, events: [makeStored(1, 'a', 'b')]});
	t.same(countMatched(views, ['a', 'b']), {pieces: 2, suspect: 0});
	t.equal(views.applyEvents('e1', {incarnation: 'i1', sequence: 3, events: [makeStored(3, 'c')]}), true);
	t.same(countMatched(views, ['a', 'b']), {pieces: 2, suspect: 2});
	t.same(countMatched(views, ['c']), {pieces: 1, suspect: 0});
	views.applyPrefill('e1', 'i1', ['a']);
	t.same(countMatched(views, ['a', 'b']), {pieces: 2, suspect: 1});
});

t.test('a lost last event is a gap as well', async t => {
	const views = start();
	t.equal(views.applyEvents('e1', {incarnation: 'i1', sequence: 2, events: [makeStored(1, 'a')]}), true);
});

t.test('events in order without gaps leave what the target has', async () => {
	const event = fc.record({kind: fc.constantFrom('stored', 'evicted'), key: fc.nat({max: 20})});
	fc.assert(fc.property(fc.array(event, {maxLength: 60}), fc.integer({min: 1, max: 7}), (list, size) => {
		const views = start();
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
			countMatched(views, [key]).pieces === (model.has(key) ? 1 : 0));
	}), {seed: 31});
});

t.test('peers replace what they said, and what they said ages', async t => {
	const views = start();
	views.applyPeerShares('r2', [{target: 'e1', requests: 2, tokens: 4000}], 0);
	views.applyPeerShares('r3', [{target: 'e1', requests: 1, tokens: 1000}], 0);
	t.same(views.get('e1').countPeers(100), {requests: 3, tokens: 5000});
	views.applyPeerShares('r2', [], 100);
	t.same(views.get('e1').countPeers(100), {requests: 1, tokens: 1000});
	t.same(views.get('e1').countPeers(5000), {requests: 0, tokens: 0});
});

t.test('entries stay within their bound', async t => {
	const views = new TargetViews({maxEntriesPerTarget: 256});
	for (let index = 0; index < 2000; index++) {
		views.applyPrefill('e1', 'i1', [`a${index}`, `b${index}`]);
	}

	t.ok(views.entries <= 256);
});

t.test('a summary carries entries, and never over newer or other knowledge', async t => {
	const first = start();
	first.applyPrefill('e1', 'i1', ['a', 'b']);
	const [summary] = first.exportSummaries(100);
	const second = new TargetViews();
	second.importSummary(summary!);
	t.same(countMatched(second, ['a', 'b']), {pieces: 2, suspect: 0});
	const restarted = start();
	restarted.applyReport('e1', {...report, incarnation: 'i2'}, 10);
	restarted.importSummary(summary!);
	t.equal(countMatched(restarted, ['a']).pieces, 0);
});
