import t from 'tap';
import {createChain} from './chain.ts';
import {Placer} from './placer.ts';
import {TargetViews} from './target-views.ts';
import {ManualClock} from '#clock';
import {createRandom, prepareHash, type TargetPool} from '#core';
import {createTelemetry} from '#telemetry';

t.before(prepareHash);

const pool: TargetPool = {
	name: 'language', kind: 'engine', model: 'm', weights: 'v1', pieceTokens: 100, checksFencing: true, loadsAtOnce: 2, minLoaded: 1, slots: 4,
	targets: ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'].map((name, index) => ({name, address: `10.0.0.${index}:1`, zone: 'esbjerg'})),
};

function createPlacer() {
	const clock = new ManualClock();
	const views = new TargetViews();
	const telemetry = createTelemetry({level: 'silent'});
	const placer = new Placer({
		views, clock, telemetry, random: createRandom(1), zone: 'esbjerg', countInstances: () => 8,
	});
	const chain = createChain({customer: 'a', model: 'm', weights: 'v1'}, [
		{role: 'system', content: 'preamble '.repeat(400)}, {role: 'user', content: 'dossier '.repeat(400)}, {role: 'user', content: 'question'},
	], pool.pieceTokens);
	return {
		clock, views, telemetry, placer, chain, request: {pool, createChain: () => chain, excluded: new Set<string>()},
	};
}

t.test('only a trusted answer records cached keys', async t => {
	const {views, telemetry, placer, request, chain} = createPlacer();
	const placement = placer.place(request)!;
	const head = {incarnation: 'i1', weights: 'v1', cachedTokens: 0};
	const {name} = placement.target;
	t.equal(placer.handleHead(placement, {...head, weights: 'v0'}, {canRepeat: true}), 'placeAgain');
	t.equal(views.findCachedPrefix(name, chain.keys).pieces, 0);
	t.equal(placer.handleHead(placement, head, {canRepeat: true}), 'trust');
	t.equal(views.findCachedPrefix(name, chain.keys).pieces, chain.keys.length);
	t.equal(placer.handleHead(placement, {...head, incarnation: 'i0'}, {canRepeat: true}), 'notForCache');
	t.equal(views.get(name).incarnation, 'i1');
	t.equal(telemetry.getCounter('answer_heads_total', {pool: 'language', verdict: 'notForCache'}), 1);
});

t.test('an answer with fewer cached tokens than assumed makes the target\'s entries suspect', async t => {
	const {views, placer, request, chain} = createPlacer();
	const first = placer.place(request)!;
	const {name} = first.target;
	const head = {incarnation: 'i1', weights: 'v1', cachedTokens: 0};
	placer.handleHead(first, head, {canRepeat: true});
	views.applyPrefill(name, 'i1', ['other']);
	const second = placer.place(request)!;
	t.equal(second.target.name, name);
	placer.handleHead(second, head, {canRepeat: true});
	t.equal(views.findCachedPrefix(name, ['other']).suspect, 1);
	t.equal(views.findCachedPrefix(name, chain.keys).suspect, 0);
});

t.test('tokens are pending until the answer begins', async t => {
	const {views, placer, request, chain} = createPlacer();
	const placement = placer.place(request)!;
	const {name} = placement.target;
	const finish = placer.startAttempt(placement);
	t.equal(views.get(name).sumPendingTokens(), chain.totalTokens);
	placer.handleHead(placement, {incarnation: 'i1', weights: 'v1', cachedTokens: 0}, {canRepeat: true});
	t.equal(views.get(name).sumPendingTokens(), 0);
	t.equal(views.get(name).inFlight, 1);
	finish();
	t.equal(views.get(name).inFlight, 0);
});

t.test('a frequently requested prefix has more homes, and keeps them during a pause', async t => {
	const {clock, placer, request} = createPlacer();
	const countHomes = () => placer.explain(request).candidates.filter(({home}) => home).length;
	t.equal(countHomes(), 1);
	for (let index = 0; index < 100; index++) {
		placer.place(request);
		await clock.advance(100);
	}

	const homesAtPeak = countHomes();
	t.ok(homesAtPeak > 1);
	await clock.advance(2000);
	t.equal(countHomes(), homesAtPeak);
	await clock.advance(600_000);
	t.equal(countHomes(), 1);
});
