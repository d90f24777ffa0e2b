import t from 'tap';
import {fetch} from 'undici';
import {startInstance, type Instance} from './instance.ts';
import {parseSettings} from './settings.ts';
import {digestKey} from '#admission';
import {createSystemClock, ManualClock} from '#clock';
import {publishFragments} from '#configuration';
import {prepareHash} from '#core';
import {createHttpObjectStore} from '#object-store';
import {
	EngineStandin, PlatformStandin, startEngineServer, startPlatformServer,
} from '#standins';

const maxWaitMs = 20_000;

t.before(prepareHash);

async function waitFor(condition: () => boolean): Promise<boolean> {
	const clock = createSystemClock();
	const deadlineMs = clock.now() + maxWaitMs;
	while (!condition() && clock.now() < deadlineMs) {
		await clock.sleep(20);
	}

	return condition();
}

async function startTestInstance(name: string, platformOrigin: string, seeds: readonly string[]): Promise<Instance> {
	const settings = parseSettings(JSON.stringify({
		name, zone: 'esbjerg', listen: '127.0.0.1:0', adminListen: '127.0.0.1:0', platformOrigin, logLevel: 'silent',
		stop: {balancerMs: 2000, drainMs: 60_000}, peers: {listen: '127.0.0.1:0', secret: 'a secret of sixteen', seeds},
	}));
	if (!settings.ok) {
		throw new Error(JSON.stringify(settings.error));
	}

	return startInstance(settings.value);
}

t.test('instances discover each other over TCP', async t => {
	const platform = await startPlatformServer(new PlatformStandin(new ManualClock()));
	const first = await startTestInstance('r1', `http://${platform.address}`, []);
	const instances = [first, await startTestInstance('r2', `http://${platform.address}`, [first.peerAddress!]), await startTestInstance('r3', `http://${platform.address}`, [first.peerAddress!])];
	t.ok(await waitFor(() => instances.every(instance => instance.peers.listInstances().length === 3)));
	await instances[2]!.stop();
	t.ok(await waitFor(() => first.peers.listInstances().length === 2));
	await instances[1]!.stop();
	await first.stop();
	await platform.destroy();
});

t.test('a graceful shutdown aborts no running request', async t => {
	const clock = createSystemClock();
	const platform = await startPlatformServer(new PlatformStandin(clock));
	const engine = await startEngineServer(new EngineStandin(clock, {seed: 1, model: 'm', weights: 'v1'}));
	const platformOrigin = `http://${platform.address}`;
	const published = await publishFragments(createHttpObjectStore(platformOrigin), [{
		file: 'stock.json', text: JSON.stringify({
			service: 'stock', routes: [{name: 'chat', pool: 'language'}],
			pools: [{
				name: 'language', kind: 'engine', model: 'm', weights: 'v1', targets: [{name: 'e1', address: engine.address, zone: 'esbjerg'}],
			}],
			customers: [{
				name: 'installer', keyDigests: [digestKey('key')], routes: ['chat'], limit: {requestsPerSecond: 100},
			}],
		}),
	}]);
	t.ok(published.ok);
	const instance = await startTestInstance('r1', platformOrigin, []);
	const sendChat = async (tokens: number) => {
		const answer = await fetch(`http://${instance.address}/v1/chat/completions`, {
			method: 'POST', headers: {'content-type': 'application/json', authorization: 'Bearer key'},
			body: JSON.stringify({
				model: 'chat', stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'hej'}],
			}),
		});
		return {status: answer.status, text: await answer.text(), connection: answer.headers.get('connection')};
	};

	t.ok(await waitFor(() => instance.lifecycle.isReady));
	const longAnswer = sendChat(150);
	t.ok(await waitFor(() => instance.router.countRunning() === 1));
	const drained = instance.drain();
	const readiness = await fetch(`http://${instance.adminAddress}/readyz`);
	t.equal(readiness.status, 503);
	const lateAnswer = await sendChat(1);
	t.match(lateAnswer, {status: 200, connection: 'close'});
	t.ok(await waitFor(() => instance.lifecycle.phase === 'refusing'));
	const refused = await sendChat(1);
	t.equal(refused.status, 503);
	t.match(refused.text, 'stopping');
	await drained;
	await instance.stop();
	const finished = await longAnswer;
	t.match(finished.text, '[DONE]');
	await Promise.all([platform.destroy(), engine.destroy()]);
});
