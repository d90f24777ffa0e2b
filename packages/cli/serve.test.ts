import {EventEmitter} from 'node:events';
import path from 'node:path';
import t, {type Test} from 'tap';
import {exitCodes} from './exit-codes.ts';
import {runServe} from './serve.ts';
import {createSystemClock} from '#clock';
import {prepareHash} from '#core';
import {PlatformStandin, startPlatformServer} from '#standins';

const clock = createSystemClock();
const maxWaitMs = 5000;

t.before(prepareHash);

async function startServe(t: Test, balancerMs: number) {
	const platform = await startPlatformServer(new PlatformStandin(clock));
	const directory = t.testdir({
		's.json': JSON.stringify({
			name: 'r1', zone: 'esbjerg', listen: '127.0.0.1:0', adminListen: '127.0.0.1:0', platformOrigin: `http://${platform.address}`,
			logLevel: 'silent', stop: {balancerMs, drainMs: 1000},
		}),
	});
	t.teardown(async () => platform.destroy());
	const signals = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target -- stands for the process
	const io = {
		write() {
			// The command prints nothing.
		},
		warn(line: string) {
			t.fail(line);
		},
		readInput: async () => '',
		environment: {},
	};
	return {signals, served: runServe(io, {settings: path.join(directory, 's.json')}, signals)};
}

// Guards against a signal that ends the process by its default action while the instance starts and already accepts requests.
t.test('a signal during the start stops the instance once it has started', async t => {
	for (const signal of ['SIGTERM', 'SIGINT']) {
		const {signals, served} = await startServe(t, 0);
		t.ok(signals.emit(signal), `${signal} is handled`);
		t.equal(await Promise.race([served, clock.sleep(maxWaitMs).then(() => 'serving')]), exitCodes.ok);
	}
});

// Guards against a second signal that ends the process by its default action while requests run.
t.test('a further signal does not cut the stop short', async t => {
	const {signals, served} = await startServe(t, 500);
	signals.emit('SIGTERM');
	await clock.sleep(200);
	for (const signal of ['SIGTERM', 'SIGINT', 'SIGTERM', 'SIGINT']) {
		t.ok(signals.emit(signal), `${signal} is handled`);
	}

	t.equal(await Promise.race([served, clock.sleep(200).then(() => 'draining')]), 'draining');
	t.equal(await Promise.race([served, clock.sleep(maxWaitMs).then(() => 'serving')]), exitCodes.ok);
	t.equal(signals.emit('SIGTERM'), false, 'no listener is left');
});
