import t from 'tap';
import fc from 'fast-check';
import {makeChain} from './chain.ts';
import {chooseTarget, type PlacementQuery} from './choose.ts';
import {explainPlacement} from './explain.ts';
import {TargetViews} from './views.ts';
import {
	createRandom, prepareHash, type LoadReport, type TargetPool,
} from '#core';

t.before(prepareHash);

const zones = ['esbjerg', 'kolding', 'aarhus'];
const pool: TargetPool = {
	name: 'language', kind: 'engine', model: 'm', weights: 'v1', pieceTokens: 100, checksFencing: true, loadsAtOnce: 2, minLoaded: 1,
	slots: 8, targets: ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'].map((name, index) => ({name, address: `10.0.0.${index}:1`, zone: zones[index % 3]!})),
};
const report: LoadReport = {
	incarnation: 'i1', weights: 'v1', model: 'm', running: 0, queued: 0, queuedTokens: 0, prefillTokensPerMs: 8, tokenGapMs: 12,
	ageMs: 0, leaving: false, cacheSequence: 0, loading: false,
};

function chain(customer = 'a', dossier = 'd', question = 'question') {
	return makeChain({customer, model: 'm', weights: 'v1'}, [
		{role: 'system', content: 'preamble '.repeat(400)},
		{role: 'user', content: `${dossier} `.repeat(4000)},
		{role: 'user', content: question},
	], pool.pieceTokens);
}

function makeQuery(views: TargetViews, options: Partial<PlacementQuery> = {}): PlacementQuery {
	return {
		pool, views, chain: chain(), excluded: new Set(), zone: 'esbjerg', random: createRandom(1), nowMs: 0, ...options,
	};
}

function pick(views: TargetViews, options: Partial<PlacementQuery> = {}) {
	return chooseTarget(makeQuery(views, options))[0]?.target.name;
}

t.test('instances that know nothing agree, whatever their zone and chance', async () => {
	fc.assert(fc.property(fc.string({minLength: 1, maxLength: 9}), fc.integer(), fc.integer(), (dossier, one, other) =>
		pick(new TargetViews(), {chain: chain('a', dossier), random: createRandom(one), zone: 'esbjerg'})
		=== pick(new TargetViews(), {chain: chain('a', dossier), random: createRandom(other), zone: 'aarhus'})), {seed: 61, numRuns: 50});
});

t.test('prefers the target that has the prompt cached', async t => {
	const views = new TargetViews();
	for (const {name} of pool.targets) {
		views.applyReport(name, report, 0);
	}

	views.applyPrefill('e4', 'i1', chain().keys);
	t.equal(pick(views), 'e4');
	t.not(pick(views, {excluded: new Set(['e4'])}), 'e4');
});

t.test('counts suspect entries for less', async t => {
	const views = new TargetViews();
	views.applyPrefill('e4', 'i1', chain().keys);
	views.markSuspect('e4');
	views.applyPrefill('e5', 'i1', chain().keys);
	t.equal(pick(views), 'e5');
});

t.test('never counts entries of another customer, incarnation or weights', async () => {
	const change = fc.constantFrom('customer', 'incarnation', 'weights');
	fc.assert(fc.property(change, fc.constantFrom(...pool.targets), (kind, {name}) => {
		const views = new TargetViews();
		views.applyReport(name, report, 0);
		views.applyPrefill(name, 'i1', chain(kind === 'customer' ? 'b' : 'a').keys);
		if (kind !== 'customer') {
			views.applyReport(name, {...report, [kind]: 'other'}, 1);
		}

		return explainPlacement(makeQuery(views)).candidates.every(({cachedTokens}) => cachedTokens === 0);
	}), {seed: 62});
});

t.test('gives no work to leaving, loading or excluded targets', async t => {
	const views = new TargetViews();
	views.markLeaving('e1');
	views.applyReport('e2', {...report, loading: true}, 0);
	views.applyReport('e3', {...report, weights: 'v0'}, 0);
	views.markUnreachable('e4');
	const query = makeQuery(views, {excluded: new Set(['e5'])});
	t.same(chooseTarget(query).map(({target}) => target.name), ['e6']);
	t.same(explainPlacement(query).excluded.map(({reason}) => reason), ['leaving', 'loading', 'other_weights', 'unreachable', 'excluded']);
	t.same(chooseTarget({...query, excluded: new Set(['e5', 'e6'])}).map(({target}) => target.name), ['e3']);
	t.same(chooseTarget({...query, excluded: new Set(pool.targets.map(({name}) => name))}), []);
});

t.test('leaves a busy target for the next', async t => {
	const views = new TargetViews();
	views.applyPrefill('e4', 'i1', chain().keys);
	views.applyReport('e4', {...report, queuedTokens: 200_000}, 0);
	t.not(pick(views), 'e4');
	t.equal(pick(views, {nowMs: 25_000}), 'e4');
});

t.test('counts what was sent since the report, here and by peers', async t => {
	const views = new TargetViews();
	views.applyReport('e1', {...report, ageMs: 500}, 1000);
	const read = () => explainPlacement(makeQuery(views, {nowMs: 1000})).candidates.find(({target}) => target.name === 'e1')!.queueMs;
	const end = views.addPending('e1', 8000, 800);
	t.equal(read(), 1000);
	views.applyPeerShares('r2', [{target: 'e1', requests: 1, tokens: 4000}], 1000);
	t.equal(read(), 1500);
	end();
	t.equal(read(), 500);
});

t.test('imports what the kept store holds', async t => {
	const views = new TargetViews();
	const keys = chain().keys.slice(0, -1);
	views.applyPrefill('e4', 'i1', keys);
	const kept = chooseTarget(makeQuery(views, {pool: {...pool, keptStore: '10.0.1.1:1'}, excluded: new Set(['e4'])}))[0]!;
	t.same(kept.importKeys, chain().keys);
	t.ok(kept.prefillMs < 1);
	t.ok(kept.importMs > 0);
	t.same(chooseTarget(makeQuery(views, {excluded: new Set(['e4'])}))[0]!.importKeys, []);
});

t.test('spreads the questions of a dossier over equal targets', async t => {
	const views = new TargetViews();
	for (const {name} of pool.targets) {
		views.applyPrefill(name, 'i1', chain().keys);
	}

	const counts = new Map<string | undefined, number>();
	for (let index = 0; index < 100; index++) {
		const name = pick(views, {chain: chain('a', 'd', `question ${index}`)});
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	t.equal(counts.size, pool.targets.length);
	t.ok(Math.max(...counts.values()) <= 2.5 * 100 / pool.targets.length, `${[...counts.values()].join(' ')}`);
});

t.test('copies of a request at several instances meet on one target', async t => {
	const views = new TargetViews();
	for (const {name} of pool.targets) {
		views.applyPrefill(name, 'i1', chain().keys);
	}

	const chosen = new Set(Array.from({length: 100}, (_, seed) => pick(views, {random: createRandom(seed)})));
	t.equal(chosen.size, 1);
});
