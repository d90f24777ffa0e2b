/** The choice of the peer through which a request goes. */
import t from 'tap';
import {PeerPaths} from './peer-paths.ts';
import {ManualClock} from '#clock';
import {createRandom} from '#core';

const peers = ['near', 'far', 'farther'].map(name => ({name, zone: name === 'near' ? 'z1' : 'z2', incarnation: name}));
const status = {
	generation: 1, ready: true, running: 0, membersDigest: '',
};

function createPaths(clock = new ManualClock()) {
	return new PeerPaths({
		bus: {listChannelPeers: () => peers}, clock, random: createRandom(1), zone: 'z1',
	});
}

t.test('peers that state that they do not reach the pool are not chosen', async t => {
	const paths = createPaths();
	paths.recordStatus(peers[0]!, {...status, unreachablePools: ['p']});
	paths.markUnavailable(peers[1]!, 'p');
	t.equal(paths.choose('p', {excluded: new Set(), bodyBytes: 0})?.name, 'farther');
	t.equal(paths.choose('q', {excluded: new Set(), bodyBytes: 0})?.name, 'near');
	paths.recordStatus(peers[0]!, status);
	t.equal(paths.choose('p', {excluded: new Set(['farther']), bodyBytes: 0})?.name, 'near');
	t.equal(paths.choose('p', {excluded: new Set(['near', 'farther']), bodyBytes: 0}), undefined);
});

t.test('requests are spread by what is in progress through each peer, up to a bound', async t => {
	const paths = createPaths();
	const counts = new Map<string, number>();
	for (let peer = paths.choose('p', {excluded: new Set(), bodyBytes: 10}); peer; peer = paths.choose('p', {excluded: new Set(), bodyBytes: 10})) {
		paths.recordStart(peer, 10);
		counts.set(peer.name, (counts.get(peer.name) ?? 0) + 1);
	}

	t.same(counts, new Map([['near', 64], ['far', 64], ['farther', 64]]));
});

t.test('the bytes of bodies through one peer are bounded', async t => {
	const paths = createPaths();
	const others = new Set(['far', 'farther']);
	const end = paths.recordStart(peers[0]!, 1_000_000);
	t.equal(paths.choose('p', {excluded: others, bodyBytes: 100_000}), undefined);
	end();
	t.equal(paths.choose('p', {excluded: others, bodyBytes: 100_000})?.name, 'near');
});

// Guards against a peer whose share is used up for a moment, and that is passed over until its next heartbeat.
t.test('a peer whose share is used up is chosen again after the time that it stated', async t => {
	const clock = new ManualClock();
	const paths = createPaths(clock);
	paths.markLimited(peers[0]!, 'p', 100);
	paths.recordStatus(peers[0]!, status);
	t.equal(paths.choose('p', {excluded: new Set(['farther']), bodyBytes: 0})?.name, 'far');
	t.equal(paths.choose('q', {excluded: new Set(), bodyBytes: 0})?.name, 'near');
	await clock.advance(100);
	t.equal(paths.choose('p', {excluded: new Set(), bodyBytes: 0})?.name, 'near');
});
