/** A roll-out of weights over many engines, seen by the other instances. */
import t from 'tap';
import {WeightsProgressExchange} from './_weights-progress.ts';
import {ManualClock} from '#clock';
import {peerMessageSchema, type PeerMessage} from '#peer-protocol';
import type {WeightsProgress} from '#rollout';
import {PeerNetworkStandin} from '#standins';

const engineCount = 87;

function startExchanges() {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const join = (name: string) => {
		const steps: WeightsProgress[] = [];
		const tokens: number[] = [];
		const bus = network.join({name, zone: 'z', incarnation: name});
		const exchange = new WeightsProgressExchange({
			bus, clock,
			handleStep(step) {
				steps.push(step);
			},
			getFencing: () => 7,
			handleFencing(fencing) {
				tokens.push(fencing);
			},
		});
		return {
			bus, exchange, steps, tokens,
		};
	};

	return {
		clock, network, holder: join('holder'), other: join('other'),
	};
}

function createStep(engine: number, isLoading: boolean): WeightsProgress {
	return {
		incarnation: `e${engine}@1`, model: 'm', version: 2, isLoading,
	};
}

// Guards against two messages for each engine, which every instance gets from each of its neighbours.
t.test('steps that follow each other closely arrive in order in one message', async t => {
	const {clock, network, holder, other} = startExchanges();
	const steps = [...Array.from({length: engineCount}, (_item, engine) => createStep(engine, true)), createStep(0, false)];
	for (const step of steps) {
		holder.exchange.broadcast(step);
	}

	await clock.advance(100);
	t.same(other.steps, steps);
	t.equal(network.deliveredCounts.get('weights'), 1);
	holder.exchange.broadcast(createStep(1, false));
	await clock.advance(100);
	t.equal(other.steps.length, steps.length + 1);
});

t.test('a message holds at most 200 steps, and a program that knows single steps reads the first', async t => {
	const {clock, holder, other} = startExchanges();
	const messages: PeerMessage[] = [];
	other.bus.subscribe('weights', message => {
		messages.push(message);
	});
	for (let engine = 0; engine < 450; engine++) {
		holder.exchange.broadcast(createStep(engine, true));
	}

	await clock.advance(100);
	t.equal(messages.length, 3);
	t.equal(other.steps.length, 450);
	for (const message of messages) {
		t.ok(peerMessageSchema.safeParse(message).success);
		t.match(message, {
			kind: 'weights', model: 'm', version: 2, isLoading: true,
		});
	}
});
