import t from 'tap';
import {runWorkExchange} from './work-exchange.ts';
import {TargetViews} from './target-views.ts';
import {ManualClock} from '#clock';
import {PeerNetworkStandin} from '#standins';

function createExchanges() {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const stopping = new AbortController();
	const join = (name: string, incarnation = name, signal = stopping.signal) => {
		const views = new TargetViews();
		void runWorkExchange({views, clock, bus: network.join({name, zone: 'esbjerg', incarnation})}, signal);
		return views;
	};

	return {
		clock, network, stopping, join, a: join('r1'), b: join('r2'),
	};
}

t.test('peers receive the work that an instance has in progress, and learn when it has ended', async t => {
	const {clock, network, stopping, a, b} = createExchanges();
	const removePending = a.addPendingTokens('e1', 3000, 0);
	a.addInFlight('e1', 1);
	await clock.advance(200);
	t.same(b.get('e1').sumPeerWork(clock.now()), {requests: 1, tokens: 3000});
	removePending();
	await clock.advance(200);
	t.same(b.get('e1').sumPeerWork(clock.now()), {requests: 1, tokens: 0});
	a.addInFlight('e1', -1);
	await clock.advance(200);
	t.same(b.get('e1').sumPeerWork(clock.now()), {requests: 0, tokens: 0});
	t.equal(network.deliveredCounts.get('sent'), 3);
	stopping.abort();
});

t.test('in a large fleet each instance sends at most once per second', async t => {
	const {clock, network, stopping, a} = createExchanges();
	for (let other = 0; other < 20; other++) {
		network.join({name: `o${other}`, zone: 'esbjerg', incarnation: `o${other}`});
	}

	await clock.advance(1000);
	const before = network.deliveredCounts.get('sent') ?? 0;
	for (let request = 0; request < 100; request++) {
		a.addInFlight('e1', 1);
		await clock.advance(30);
	}

	// The loop takes 3 s, in which at most 4 messages go to at most 21 peers.
	t.ok((network.deliveredCounts.get('sent') ?? 0) - before <= 21 * 4);
	stopping.abort();
});

t.test('a lost message is repeated', async t => {
	const {clock, network, stopping, a, b} = createExchanges();
	network.setIsolated('r1', true);
	a.addInFlight('e1', 1);
	await clock.advance(200);
	network.setIsolated('r1', false);
	t.equal(b.get('e1').sumPeerWork(clock.now()).requests, 0);
	await clock.advance(1500);
	t.equal(b.get('e1').sumPeerWork(clock.now()).requests, 1);
	stopping.abort();
});

t.test('the work reported by a silent peer expires', async t => {
	const {clock, network, stopping, a, b} = createExchanges();
	a.addInFlight('e1', 1);
	await clock.advance(200);
	network.leave('r1');
	network.setIsolated('r1', true);
	await clock.advance(3000);
	t.equal(b.get('e1').sumPeerWork(clock.now()).requests, 0);
	stopping.abort();
});

t.test('the work of an instance\'s earlier process ends when another one has its name', async t => {
	const {clock, network, stopping, join, b} = createExchanges();
	const ending = new AbortController();
	const earlier = join('r3', 'r3@1', ending.signal);
	for (let request = 0; request < 5; request++) {
		earlier.addInFlight('e1', 1);
	}

	await clock.advance(1100);
	t.equal(b.get('e1').sumPeerWork(clock.now()).requests, 5);
	ending.abort();
	network.leave('r3');
	join('r3', 'r3@2');
	await clock.advance(1100);
	t.equal(b.get('e1').sumPeerWork(clock.now()).requests, 0);
	stopping.abort();
});
