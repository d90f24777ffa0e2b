import t from 'tap';
import {runPartExchange} from './part-exchange.ts';
import {PlacedParts} from './placed-parts.ts';
import {ManualClock} from '#clock';
import {PeerNetworkStandin} from '#standins';

function start() {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const stopping = new AbortController();
	const join = (name: string) => {
		const placed = new PlacedParts();
		void runPartExchange({placed, clock, bus: network.join({name, zone: 'z', incarnation: name})}, stopping.signal);
		return placed;
	};

	return {
		clock, network, stopping, a: join('a'), b: join('b'),
	};
}

t.test('what one instance places the others know, and do not tell again', async t => {
	const {clock, network, stopping, a, b} = start();
	a.place('s/x', 'e1@1', clock.now());
	await clock.advance(200);
	t.ok(b.has('s/x', 'e1@1', clock.now()));
	b.place('s/x', 'e1@1', clock.now());
	await clock.advance(200);
	t.equal(network.delivered.get('parts'), 1);
	stopping.abort();
});

t.test('many instances: each tells twice a second at most', async t => {
	const {clock, network, stopping, a} = start();
	for (let other = 0; other < 20; other++) {
		network.join({name: `o${other}`, zone: 'z', incarnation: `o${other}`});
	}

	await clock.advance(1000);
	const before = network.delivered.get('parts') ?? 0;
	for (let part = 0; part < 100; part++) {
		a.place(`s/${part}`, 'e1@1', clock.now());
		await clock.advance(20);
	}

	t.ok((network.delivered.get('parts') ?? 0) - before <= 21 * 5);
	stopping.abort();
});

t.test('a burst of new prompts is told in one bounded message', async t => {
	const {clock, network, stopping, a, b} = start();
	await clock.advance(10);
	for (let part = 0; part < 500; part++) {
		a.place(`s/${part}`, 'e1@1', clock.now());
	}

	await clock.advance(300);
	t.equal(network.delivered.get('parts'), 1);
	t.equal(b.size, 64);
	stopping.abort();
});
