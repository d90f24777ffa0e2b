import t from 'tap';
import {PublishedWeights, type WeightsSource} from './published-weights.ts';
import {ManualClock, SuspensionMonitor} from '#clock';

/** Sources of versions: the first list, a watch, and a peer. */
const first: WeightsSource = {wasListed: false, isWatching: true};
const watched: WeightsSource = {wasListed: true, isWatching: true};
const heard: WeightsSource = {wasListed: true, isWatching: false};

function create(clock = new ManualClock()) {
	return {clock, published: new PublishedWeights({clock, suspensions: new SuspensionMonitor(clock)})};
}

/** Returns the age of the first version after these weights, by which they are stale. */
function getAge(published: PublishedWeights, weights: number) {
	return published.get('m')?.find(({version}) => version > weights)?.ageMs;
}

// Guards against a restarted instance that sends requests to old weights for as long again as when the newer ones were published.
t.test('a version that was there at the start counts as published before it, and soon as too old', async t => {
	const {clock, published} = create();
	await clock.advance(100);
	published.record('m', 3, first);
	t.same(published.get('m'), [{version: 3, ageMs: 3100}]);
	await clock.advance(1899);
	t.same(published.get('m'), [{version: 3, ageMs: 4999}]);
	await clock.advance(1);
	t.same(published.get('m'), [{version: 3, ageMs: Infinity}]);
});

// Guards against an age that begins when a slow instance reads the versions.
t.test('a version that was there at the start is not younger if it is learned late', async t => {
	const {clock, published} = create();
	await clock.advance(7000);
	published.record('m', 3, first);
	t.same(published.get('m'), [{version: 3, ageMs: Infinity}]);
});

t.test('a version that is published later has the age since then', async t => {
	const {clock, published} = create();
	await clock.advance(1000);
	published.record('m', 2, watched);
	await clock.advance(700);
	t.same(published.get('m'), [{version: 2, ageMs: 700}]);
});

// Guards against an instance that wakes from a suspension and takes what was published meanwhile for new.
t.test('a version that is learned after a suspension counts as published at its beginning', async t => {
	const {clock, published} = create();
	await clock.advance(10_000);
	clock.suspend(6700);
	published.record('m', 2, watched);
	t.same(published.get('m'), [{version: 2, ageMs: 6700}]);
	await clock.advance(1900);
	published.record('m', 3, watched);
	t.same(published.get('m'), [{version: 2, ageMs: 8600}, {version: 3, ageMs: 8600}]);
	await clock.advance(200);
	published.record('m', 4, watched);
	t.match(published.get('m')?.at(-1), {version: 4, ageMs: 0});
});

// Guards against an instance that forgets a long suspension because its event loop is busy after it.
t.test('a short pause right after a suspension does not hide it', async t => {
	const {clock, published} = create();
	await clock.advance(19_500);
	published.record('m', 3, watched);
	clock.suspend(6000);
	await clock.advance(10);
	clock.suspend(800);
	await clock.advance(10);
	published.record('m', 4, watched);
	t.ok(getAge(published, 3)! >= 6320);
});

t.test('the age that a peer states narrows an assumed one, also to a younger one', async t => {
	const {clock, published} = create();
	published.record('m', 3, first);
	t.notOk(published.merge({model: 'm', versions: [[3, 400, 300]]}));
	await clock.advance(5000);
	t.same(published.get('m'), [{version: 3, ageMs: 5400}]);
});

t.test('of several ages of a version, the narrowest bounds hold, and of contradictory ones the older', async t => {
	const {clock, published} = create();
	await clock.advance(6000);
	published.record('m', 3, watched);
	published.merge({model: 'm', versions: [[3, 900, 400]]});
	t.same(published.get('m'), [{version: 3, ageMs: 400}]);
	published.merge({model: 'm', versions: [[3, 100, 100]]});
	t.same(published.get('m'), [{version: 3, ageMs: 400}]);
});

// Guards against instances that hear of changes from peers and take a version for new that the watchers of the store have learned late.
t.test('an instance that has heard of a version believes the bounds of one that watches the store', async t => {
	const {clock, published} = create();
	await clock.advance(20_000);
	published.record('m', 2, heard);
	t.same(published.listStatements(), [], 'it does not state what it has only heard');
	t.same(published.get('m'), [{version: 2, ageMs: 0}]);
	published.merge({model: 'm', versions: [[2, 6050, 20]]});
	t.same(published.get('m'), [{version: 2, ageMs: 6050}]);
	t.same(published.listStatements(), [{model: 'm', versions: [[2, 6050, 20]]}]);
});

// Guards against a heartbeat that lay in the socket during a suspension and is taken for one that has just been sent.
t.test('a statement that is read after a suspension may be as old as the suspension', async t => {
	const {clock, published} = create();
	await clock.advance(20_000);
	published.record('m', 3, watched);
	await clock.advance(5000);
	clock.suspend(6000);
	published.merge({model: 'm', versions: [[4, 100, 100]]});
	t.ok(getAge(published, 3)! >= 5900);
	t.notOk(published.record('m', 4, watched));
	await clock.advance(3500);
	t.ok(getAge(published, 3)! >= 9400);
});

// Guards against an instance that knows the newest version only, so that engines two versions behind look out of date only since then.
t.test('versions that only peers know are added in their order', async t => {
	const {clock, published} = create();
	await clock.advance(100);
	published.record('m', 9, first);
	t.notOk(published.merge({model: 'm', versions: [[8, 7000, 7000]]}));
	t.ok(published.merge({model: 'm', versions: [[8, 7000, 7000], [10, 50, 50]]}));
	t.same(published.get('m')?.map(({version}) => version), [8, 9, 10]);
	t.same(published.listNewest(), new Map([['m', 10]]));
	t.notOk(published.record('m', 10, watched));
});

// Guards against a version that nobody can date and that a younger one hides from an instance that starts.
t.test('a version whose age no instance knows is stated as that, beside a younger one', async t => {
	const clock = new ManualClock();
	const {published: running} = create(clock);
	running.record('m', 6, first);
	await clock.advance(30_000);
	running.record('m', 7, watched);
	await clock.advance(500);
	const {published: starting} = create(clock);
	starting.record('m', 7, first);
	await clock.advance(500);
	for (const statement of running.listStatements()) {
		starting.merge(statement);
	}

	await clock.advance(3500);
	t.equal(getAge(running, 5), Infinity);
	t.equal(getAge(starting, 5), Infinity);
	t.equal(getAge(starting, 6), 4500);
});

t.test('peers are told the ages of young versions, with the last old one, as engines may be older than that', async t => {
	const {clock, published} = create();
	await clock.advance(100);
	published.record('m', 3, first);
	published.record('m', 4, watched);
	published.merge({model: 'n', versions: [[2, 900, 800]]});
	await clock.advance(14_000);
	t.same(published.listStatements(), [{model: 'm', versions: [[3, 86_400_000, 14_100], [4, 14_000, 14_000]]}, {model: 'n', versions: [[2, 14_900, 14_800]]}]);
	await clock.advance(500);
	t.same(published.listStatements(), [{model: 'm', versions: [[3, 86_400_000, 14_600], [4, 14_500, 14_500]]}]);
	published.record('m', 5, watched);
	await clock.advance(1000);
	t.same(published.listStatements(), [{model: 'm', versions: [[4, 15_500, 15_500], [5, 1000, 1000]]}]);
});

// Guards against a heartbeat that the peers' schema refuses, which closes the link.
t.test('no more models are stated than a heartbeat may hold', async t => {
	const {published} = create();
	for (let index = 0; index < 65; index++) {
		published.record(`m${index}`, 2, watched);
	}

	t.equal(published.listStatements().length, 64);
});
