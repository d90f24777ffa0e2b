import t from 'tap';
import {runPartExchange} from './part-exchange.ts';
import {CachedParts} from './cached-parts.ts';
import {ManualClock} from '#clock';
import {PeerNetworkStandin} from '#standins';

function start() {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const stopping = new AbortController();
	const join = (name: string) => {
		const cachedParts = new CachedParts();
		void runPartExchange({cachedParts, clock, bus: network.join({name, zone: 'z', incarnation: name})}, stopping.signal);
		return cachedParts;
	};

	return {
		clock, network, stopping, a: join('a'), b: join('b'),
	};
}

t.test('parts that one instance sends to a target are known to its peers, which do not send them again', async t => {
	const {clock, network, stopping, a, b} = start();
	a.recordSent('s/x', 'e1@1', clock.now());
	await clock.advance(200);
	t.ok(b.has('s/x', 'e1@1', clock.now()));
	b.recordSent('s/x', 'e1@1', clock.now());
	await clock.advance(200);
	t.equal(network.deliveredCounts.get('parts'), 1);
	stopping.abort();
});

t.test('with many instances, each sends at most two messages per second', async t => {
	const {clock, network, stopping, a} = start();
	for (let other = 0; other < 20; other++) {
		network.join({name: `o${other}`, zone: 'z', incarnation: `o${other}`});
	}

	await clock.advance(1000);
	const before = network.deliveredCounts.get('parts') ?? 0;
	for (let part = 0; part < 100; part++) {
		a.recordSent(`s/${part}`, 'e1@1', clock.now());
		await clock.advance(20);
	}

	// In two seconds, at most five messages reach each of the 21 peers.
	t.ok((network.deliveredCounts.get('parts') ?? 0) - before <= 21 * 5);
	stopping.abort();
});

t.test('a burst of new parts is sent in one message of bounded size', async t => {
	const {clock, network, stopping, a, b} = start();
	await clock.advance(10);
	for (let part = 0; part < 500; part++) {
		a.recordSent(`s/${part}`, 'e1@1', clock.now());
	}

	await clock.advance(300);
	t.equal(network.deliveredCounts.get('parts'), 1);
	t.equal(b.size, 64);
	stopping.abort();
});
