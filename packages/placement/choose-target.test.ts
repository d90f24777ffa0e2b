import t from 'tap';
import fc from 'fast-check';
import {createChain} from './chain.ts';
import {chooseTarget, type PlacementQuery} from './choose-target.ts';
import {explainPlacement} from './explain.ts';
import {TargetViews} from './target-views.ts';
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

function createTestChain(customer = 'a', dossier = 'd', question = 'question') {
	return createChain({customer, model: 'm', weights: 'v1'}, [
		{role: 'system', content: 'preamble '.repeat(400)},
		{role: 'user', content: `${dossier} `.repeat(4000)},
		{role: 'user', content: question},
	], pool.pieceTokens);
}

function createQuery(views: TargetViews, options: Partial<PlacementQuery> = {}): PlacementQuery {
	return {
		pool, views, chain: createTestChain(), excluded: new Set(), zone: 'esbjerg', random: createRandom(1), nowMs: 0, ...options,
	};
}

function chooseName(views: TargetViews, options: Partial<PlacementQuery> = {}) {
	return chooseTarget(createQuery(views, options))[0]?.target.name;
}

t.test('instances without reports choose the same target, regardless of zone and random numbers', async () => {
	fc.assert(fc.property(fc.string({minLength: 1, maxLength: 9}), fc.integer(), fc.integer(), (dossier, firstSeed, secondSeed) =>
		chooseName(new TargetViews(), {chain: createTestChain('a', dossier), random: createRandom(firstSeed), zone: 'esbjerg'})
		=== chooseName(new TargetViews(), {chain: createTestChain('a', dossier), random: createRandom(secondSeed), zone: 'aarhus'})), {seed: 61, numRuns: 50});
});

t.test('prefers the target that has the prompt cached', async t => {
	const views = new TargetViews();
	for (const {name} of pool.targets) {
		views.applyReport(name, report, 0);
	}

	views.applyPrefill('e4', 'i1', createTestChain().keys);
	t.equal(chooseName(views), 'e4');
	t.not(chooseName(views, {excluded: new Set(['e4'])}), 'e4');
});

t.test('gives suspect entries less weight', async t => {
	const views = new TargetViews();
	views.applyPrefill('e4', 'i1', createTestChain().keys);
	views.markSuspect('e4');
	views.applyPrefill('e5', 'i1', createTestChain().keys);
	t.equal(chooseName(views), 'e5');
});

t.test('ignores entries of another customer, incarnation or weights version', async () => {
	const change = fc.constantFrom('customer', 'incarnation', 'weights');
	fc.assert(fc.property(change, fc.constantFrom(...pool.targets), (kind, {name}) => {
		const views = new TargetViews();
		views.applyReport(name, report, 0);
		views.applyPrefill(name, 'i1', createTestChain(kind === 'customer' ? 'b' : 'a').keys);
		if (kind !== 'customer') {
			views.applyReport(name, {...report, [kind]: 'other'}, 1);
		}

		return explainPlacement(createQuery(views)).candidates.every(({cachedTokens}) => cachedTokens === 0);
	}), {seed: 62});
});

t.test('never chooses draining, loading or excluded targets, and targets with other weights only as a last resort', async t => {
	const views = new TargetViews();
	views.markDraining('e1');
	views.applyReport('e2', {...report, loading: true}, 0);
	views.applyReport('e3', {...report, weights: 'v0'}, 0);
	views.markUnreachable('e4');
	const query = createQuery(views, {excluded: new Set(['e5'])});
	t.same(chooseTarget(query).map(({target}) => target.name), ['e6']);
	t.same(explainPlacement(query).excluded.map(({reason}) => reason), ['leaving', 'loading', 'other_weights', 'unreachable', 'excluded']);
	t.same(chooseTarget({...query, excluded: new Set(['e5', 'e6'])}).map(({target}) => target.name), ['e3']);
	t.same(chooseTarget({...query, excluded: new Set(pool.targets.map(({name}) => name))}), []);
});

t.test('avoids a target with a long queue until the queue has drained', async t => {
	const views = new TargetViews();
	views.applyPrefill('e4', 'i1', createTestChain().keys);
	views.applyReport('e4', {...report, queuedTokens: 200_000}, 0);
	t.not(chooseName(views), 'e4');
	t.equal(chooseName(views, {nowMs: 25_000}), 'e4');
});

t.test('counts requests sent since the report, by this instance and by its peers', async t => {
	const views = new TargetViews();
	views.applyReport('e1', {...report, ageMs: 500}, 1000);
	const getQueueMs = () => explainPlacement(createQuery(views, {nowMs: 1000})).candidates.find(({target}) => target.name === 'e1')!.queueMs;
	const removePending = views.addPendingTokens('e1', 8000, 800);
	t.equal(getQueueMs(), 1000);
	views.applyPeerWork('r2', [{target: 'e1', requests: 1, tokens: 4000}], 1000);
	t.equal(getQueueMs(), 1500);
	removePending();
	t.equal(getQueueMs(), 500);
});

t.test('imports the keys that the KV cache store holds', async t => {
	const views = new TargetViews();
	const keys = createTestChain().keys.slice(0, -1);
	views.applyPrefill('e4', 'i1', keys);
	const candidate = chooseTarget(createQuery(views, {pool: {...pool, keptStore: '10.0.1.1:1'}, excluded: new Set(['e4'])}))[0]!;
	t.same(candidate.importKeys, createTestChain().keys);
	t.ok(candidate.prefillMs < 1);
	t.ok(candidate.importMs > 0);
	t.same(chooseTarget(createQuery(views, {excluded: new Set(['e4'])}))[0]!.importKeys, []);
});

t.test('spreads prompts with a common prefix over targets with equal totals', async t => {
	const views = new TargetViews();
	for (const {name} of pool.targets) {
		views.applyPrefill(name, 'i1', createTestChain().keys);
	}

	const counts = new Map<string | undefined, number>();
	for (let index = 0; index < 100; index++) {
		const name = chooseName(views, {chain: createTestChain('a', 'd', `question ${index}`)});
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	t.equal(counts.size, pool.targets.length);
	t.ok(Math.max(...counts.values()) <= 2.5 * 100 / pool.targets.length, `${[...counts.values()].join(' ')}`);
});

t.test('sends copies of a request at several instances to one target', async t => {
	const views = new TargetViews();
	for (const {name} of pool.targets) {
		views.applyPrefill(name, 'i1', createTestChain().keys);
	}

	const chosen = new Set(Array.from({length: 100}, (_, seed) => chooseName(views, {random: createRandom(seed)})));
	t.equal(chosen.size, 1);
});
