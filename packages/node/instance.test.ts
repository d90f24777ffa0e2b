import t from 'tap';
import {startInstance, type Instance} from './instance.ts';
import {parseSettings} from './settings.ts';
import {createSystemClock, ManualClock} from '#clock';
import {prepareHash} from '#core';
import {PlatformStandin, startPlatformServer} from '#standins';

const limitMs = 20_000;

t.before(prepareHash);

async function waitFor(condition: () => boolean): Promise<boolean> {
	const clock = createSystemClock();
	const endMs = clock.now() + limitMs;
	while (!condition() && clock.now() < endMs) {
		await clock.sleep(20);
	}

	return condition();
}

async function start(name: string, platformOrigin: string, seeds: readonly string[]): Promise<Instance> {
	const settings = parseSettings(JSON.stringify({
		name, zone: 'esbjerg', listen: '127.0.0.1:0', adminListen: '127.0.0.1:0', platformOrigin, logLevel: 'silent',
		peers: {listen: '127.0.0.1:0', secret: 'a secret of sixteen', seeds},
	}));
	if (!settings.ok) {
		throw new Error(JSON.stringify(settings.error));
	}

	return startInstance(settings.value);
}

t.test('instances find each other over TCP', async t => {
	const platform = await startPlatformServer(new PlatformStandin(new ManualClock()));
	const first = await start('r1', `http://${platform.address}`, []);
	const instances = [first, await start('r2', `http://${platform.address}`, [first.peerAddress!]), await start('r3', `http://${platform.address}`, [first.peerAddress!])];
	t.ok(await waitFor(() => instances.every(instance => instance.peers.listInstances().length === 3)));
	await instances[2]!.stop();
	t.ok(await waitFor(() => first.peers.listInstances().length === 2));
	await instances[1]!.stop();
	await first.stop();
	await platform.destroy();
});
