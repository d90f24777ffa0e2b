import t from 'tap';
import {readHead} from './head.ts';
import {fragmentPrefix} from './keys.ts';
import {publishFragments, type PublishOptions} from './publish.ts';
import {ManualClock} from '#clock';
import type {ObjectStore} from '#object-store';
import {PlatformStandin} from '#standins';

function createFragment(service: string, address: string) {
	return {file: `${service}.json`, text: JSON.stringify({service, pools: [{name: service, kind: 'service', targets: [{name: service, address, zone: 'a'}]}]})};
}

function createPlatform() {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	const runUntilDone = async <Value>(promise: Promise<Value>): Promise<Value> => {
		let value: Value | undefined;
		void (async () => {
			value = await promise;
		})();

		await clock.advanceUntil(() => value !== undefined, 10_000);
		return value!;
	};

	const publish = async (service: string, address: string, options: PublishOptions = {}) =>
		runUntilDone(publishFragments(platform, [createFragment(service, address)], options));
	return {
		clock, platform, publish, runUntilDone,
	};
}

t.test('concurrent publications of different services are merged', async t => {
	const {platform, runUntilDone} = createPlatform();
	const results = await runUntilDone(Promise.all(['one', 'two', 'three'].map(async (service, index) =>
		publishFragments(platform, [createFragment(service, `10.0.0.${index + 1}:1`)]))));
	t.ok(results.every(result => result.ok));
	t.match(await runUntilDone(readHead(platform)), {value: {head: {generation: 3, fragments: {one: String, two: String, three: String}}}});
});

t.test('concurrent publications of the same service conflict', async t => {
	const {platform, runUntilDone} = createPlatform();
	const results = await runUntilDone(Promise.all([1, 2].map(async host => publishFragments(platform, [createFragment('one', `10.0.0.${host}:1`)]))));
	t.equal(results.filter(result => result.ok).length, 1);
	t.match(results.find(result => !result.ok), {error: {kind: 'conflict', service: 'one', base: 'none'}});
});

t.test('a publication with an outdated base conflicts, one with the current base does not', async t => {
	const {publish} = createPlatform();
	const first = await publish('one', '10.0.0.1:1');
	const base = first.ok ? first.value.checksums.one! : '';
	t.match(await publish('one', '10.0.0.2:1', {bases: {one: base}}), {ok: true, value: {generation: 2}});
	t.match(await publish('one', '10.0.0.3:1', {bases: {one: base}}), {ok: false, error: {kind: 'conflict', base}});
});

t.test('writes of fragments are retried after lost answers', async t => {
	const {platform, publish, runUntilDone} = createPlatform();
	platform.loseResponses(2);
	t.match(await publish('one', '10.0.0.1:1'), {ok: true, value: {generation: 1}});
	t.match(await runUntilDone(readHead(platform)), {value: {head: {generation: 1}}});
});

t.test('a publication whose answer was lost is recognised after another publication', async t => {
	const {platform, runUntilDone} = createPlatform();
	let isLost = false;
	const racingPlatform: ObjectStore = {
		get: async key => platform.get(key),
		async put(key, value, options) {
			const result = await platform.put(key, value, options);
			if (isLost || !key.endsWith('head')) {
				return result;
			}

			isLost = true;
			await publishFragments(platform, [createFragment('two', '10.0.0.2:1')]);
			return {ok: false, error: {kind: 'unknown', detail: 'lost'}};
		},
		remove: async (key, options) => platform.remove(key, options),
		list: async prefix => platform.list(prefix),
		watch: async (prefix, revision, signal) => platform.watch(prefix, revision, signal),
		listInstances: async () => platform.listInstances(),
	};
	t.match(await runUntilDone(publishFragments(racingPlatform, [createFragment('one', '10.0.0.1:1')])), {ok: true, value: {generation: 1}});
	t.match(await runUntilDone(readHead(platform)), {value: {head: {generation: 2, fragments: {one: String, two: String}}}});
});

t.test('replaced fragments are removed', async t => {
	const {platform, publish, runUntilDone} = createPlatform();
	await publish('one', '10.0.0.1:1');
	await publish('one', '10.0.0.2:1');
	const listed = await runUntilDone(platform.list(fragmentPrefix));
	t.match(listed, {ok: true, value: {objects: {length: 1}}});
});

t.test('a replaced fragment is not removed if a concurrent publication uses it again', async t => {
	const {platform, publish, runUntilDone} = createPlatform();
	await publish('one', '10.0.0.1:1');
	let hasRaced = false;
	const racingPlatform: ObjectStore = {
		get: async key => platform.get(key),
		put: async (key, value, options) => platform.put(key, value, options),
		async remove(key, options) {
			if (!hasRaced) {
				hasRaced = true;
				await publishFragments(platform, [createFragment('one', '10.0.0.1:1')]);
			}

			return platform.remove(key, options);
		},
		list: async prefix => platform.list(prefix),
		watch: async (prefix, revision, signal) => platform.watch(prefix, revision, signal),
		listInstances: async () => platform.listInstances(),
	};
	await runUntilDone(publishFragments(racingPlatform, [createFragment('one', '10.0.0.2:1')]));
	const head = await runUntilDone(readHead(platform));
	const checksum = head.ok ? head.value.head.fragments.one! : '';
	t.match(await runUntilDone(platform.get(`${fragmentPrefix}one/${checksum}`)), {value: {key: String}});
});

t.test('a service can be removed', async t => {
	const {platform, publish, runUntilDone} = createPlatform();
	await publish('one', '10.0.0.1:1');
	t.match(await runUntilDone(publishFragments(platform, [], {remove: ['onne']})), {error: {kind: 'invalid', faults: [{message: /did you mean "one"\?/v}]}});
	t.match(await runUntilDone(publishFragments(platform, [], {remove: ['one']})), {ok: true, value: {generation: 2}});
	t.match(await runUntilDone(platform.list(fragmentPrefix)), {ok: true, value: {objects: {length: 0}}});
});

t.test('a refused publication or an outage leaves no head', async t => {
	const {platform, publish, runUntilDone} = createPlatform();
	t.match(await publish('one', '10.0.0.1:0'), {error: {kind: 'invalid'}});
	platform.setDown(true);
	t.match(await publish('one', '10.0.0.1:1'), {error: {kind: 'platform', failure: {kind: 'unavailable'}}});
	platform.setDown(false);
	t.match(await runUntilDone(readHead(platform)), {value: {version: 0}});
});
