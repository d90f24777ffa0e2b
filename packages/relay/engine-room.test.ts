import t from 'tap';
import {measureEngineUse} from './admit-request.ts';
import {CachedParts} from './cached-parts.ts';
import {chooseRelayTarget, type TargetChoice, type TargetQuery} from './choose-target.ts';
import {TargetConnections} from './connections.ts';
import {estimateOccupancy} from './engine-room.ts';
import {TargetState} from './target-state.ts';
import {ManualClock} from '#clock';
import {
	createRandom, prepareHash, type EngineTraits, type Prompt,
} from '#core';

const engine: EngineTraits = {
	slots: 64, cacheTokens: 224_718, bytesPerToken: 18_432, linkMbps: 100_000, models: ['m'],
};

function createState(index: number): TargetState {
	const clock = new ManualClock();
	return new TargetState({
		id: `e${index}`, incarnation: `e${index}@1`, startedWallMs: 1, pool: 'p', address: '127.0.0.1:1', zone: 'a', slots: 64, isDraining: false, softwareVersion: 'v1', weights: new Map([['m', 1]]),
	}, new TargetConnections('127.0.0.1:1', clock, () => clock.now(), {connectTimeoutMs: 1, idleTimeoutMs: 1}), clock);
}

function createPrompt(subject: string, own = 6600): Prompt {
	return {
		model: 'm', inputTokens: 5382 + own, maxOutputTokens: 48, parts: [{key: subject, tokens: 5382}, {key: 'own', tokens: own}],
	};
}

function choose(targets: readonly TargetState[], options: Partial<TargetQuery> = {}): TargetChoice {
	const choice = chooseRelayTarget({
		targets, excluded: new Set(), engine, prompt: createPrompt('a'), cacheScope: 's', urgency: 0, isRationed: true, publishedVersions: undefined, maxStaleWeightsMs: 8000,
		cachedParts: new CachedParts(), kvCacheStores: [], zone: 'a', maxConnections: 46, nowMs: 0, random: createRandom(5), getLimitSharing: () => ({instances: 1, rank: 0}), ...options,
	});
	if (typeof choice === 'string') {
		throw new TypeError(choice);
	}

	return choice;
}

/** Adds requests in progress whose prompts have been read. */
function addRequests(state: TargetState, count: number, {urgency = 0, own = 6600} = {}): void {
	for (let request = 0; request < count; request++) {
		state.inFlight++;
		state.held.add(createPrompt(`subject ${request % 4}`, own), [`s/subject ${request % 4}`], urgency);
	}
}

t.before(prepareHash);

// Guards against long prompts that go on to an engine with free slots and no free memory, where they preempt others or wait.
t.test('many long prompts: an engine whose memory is full takes no further one while another has room', async t => {
	const states = [createState(0), createState(1), createState(2)];
	const home = choose(states).state;
	addRequests(home, 32);
	t.not(choose(states).state, home);
	for (const state of states) {
		if (state !== home) {
			state.pendingTokens.add(0, 20_000);
		}
	}

	t.not(choose(states).state, home, 'not even if the others have prompts to read first');
	t.equal(choose([home]).state, home, 'with no other engine, the wait decides');
	t.ok(choose([home]).queueMs > 0);
});

// Guards against urgent prompts that leave the engines which have their parts for those that they would overtake.
t.test('memory held by less urgent requests does not keep a more urgent one away', async t => {
	const states = [createState(0), createState(1), createState(2)];
	const home = choose(states).state;
	addRequests(home, 5, {urgency: 5, own: 40_000});
	t.equal(choose(states, {urgency: 0}).state, home);
	t.not(choose(states, {urgency: 5}).state, home);
});

// Guards against instances that know little of each other's requests, and against a load that was stated long ago.
t.test('an engine states more requests than instances tell each other: they count by its age', async t => {
	const state = createState(0);
	addRequests(state, 4);
	const estimate = (nowMs: number) => estimateOccupancy(state, 4, engine, {urgency: 0, nowMs});
	const {heldTokens} = estimate(0);
	state.recordLoad({running: 18, waiting: 6, slots: 64}, 0);
	t.equal(estimate(0).requests, 24);
	t.equal(estimate(0).heldTokens, heldTokens * 6);
	t.ok(estimate(0).isWaiting);
	t.notOk(estimate(400).isWaiting);
	t.ok(estimate(500).requests < 24 && estimate(500).requests > 4);
	t.equal(estimate(1000).requests, 4);
	t.strictSame(measureEngineUse([state, createState(1)], engine, 0), {requests: 24, slots: 128, isWaiting: true});
});

// Guards against parts that are read at many engines while their home is down, and again when it is back.
t.test('an engine goes down without a word: all instances use the same other home, and the first one again when it is back', async t => {
	const states = Array.from({length: 8}, (_item, index) => createState(index));
	const others = Array.from({length: 8}, (_item, index) => createState(index)).toReversed();
	for (let subject = 0; subject < 20; subject++) {
		const query = {prompt: createPrompt(`subject ${subject}`)};
		const home = choose(states, query).state;
		home.suspect(1000);
		const second = choose(states, query).state;
		t.not(second, home);
		const state = others.find(({target}) => target.id === home.target.id)!;
		state.suspect(1000);
		t.equal(choose(others, query).state.target.id, second.target.id);
		t.equal(choose(states, {...query, nowMs: 1000}).state, home);
		state.clearSuspicion();
		home.clearSuspicion();
	}
});

// Guards against homes that serve other weights, so that parts of the new ones are read at any engine that does.
t.test('a roll-out of weights: parts have their home among the engines that serve the new ones', async t => {
	const states = Array.from({length: 6}, (_item, index) => createState(index));
	for (const state of states.slice(0, 3)) {
		state.recordWeights('m', 2);
	}

	const publishedVersions = [{version: 2, ageMs: 3000}];
	for (let subject = 0; subject < 10; subject++) {
		const query = {prompt: createPrompt(`subject ${subject}`), publishedVersions};
		const chosen = choose(states, query);
		t.equal(chosen.weights, 2);
		t.equal(choose(states.toReversed(), query).state, chosen.state);
	}
});

// Guards against requests that leave a busy home for any of the others, where each reads the shared part again.
t.test('a hot subject: what its home has no time for meets on a second one', async t => {
	const states = Array.from({length: 8}, (_item, index) => createState(index));
	for (let subject = 0; subject < 10; subject++) {
		const query = {prompt: createPrompt(`subject ${subject}`)};
		const home = choose(states, query).state;
		home.pendingTokens.add(0, 50_000);
		const second = choose(states, query).state;
		t.not(second, home);
		t.equal(choose(states.toReversed(), query).state, second);
		home.pendingTokens.add(0, -50_000);
	}
});
