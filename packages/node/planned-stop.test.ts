import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import t from 'tap';
import {startInstance, type Instance} from './instance.ts';
import {parseSettings} from './settings.ts';
import {digestKey} from '#admission';
import {createSystemClock} from '#clock';
import {publishFragments} from '#configuration';
import {prepareHash} from '#core';
import {createHttpObjectStore} from '#object-store';
import {
	EngineStandin, PlatformStandin, ServiceStandin, startEngineServer, startPlatformServer, startServiceServer,
} from '#standins';

const clock = createSystemClock();
const maxWaitMs = 10_000;

t.before(prepareHash);

async function waitFor(condition: () => boolean): Promise<boolean> {
	const deadlineMs = clock.now() + maxWaitMs;
	while (!condition() && clock.now() < deadlineMs) {
		await clock.sleep(10);
	}

	return condition();
}

/** A raw connection, which shows whether an answer ends or breaks off. */
class Connection {
	text = '';
	isClosed = false;
	readonly #socket: Socket;

	constructor(address: string) {
		this.#socket = connect(Number(address.split(':')[1]), '127.0.0.1');
		this.#socket.on('error', () => {
			// Resets are part of the tests.
		});
		this.#socket.on('close', () => {
			this.isClosed = true;
		});
		this.#socket.on('data', chunk => {
			this.text += chunk.toString();
		});
	}

	write(text: string): void {
		this.#socket.write(text);
	}

	async leave(): Promise<void> {
		this.#socket.destroy();
		await once(this.#socket, 'close');
	}
}

function formatChat(fields: Readonly<Record<string, unknown>>): Readonly<{head: string; body: string}> {
	const body = JSON.stringify({model: 'chat', messages: [{role: 'user', content: 'hej'}], ...fields});
	return {head: `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n`, body};
}

const movement = 'POST /services/ledger/movements HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key\r\nidempotency-key: k1\r\ncontent-length: 1\r\n\r\nx';

type Fixture = Readonly<{instance: Instance; service: ServiceStandin; open: () => Connection}>;

async function startFixture(options: Readonly<{drainMs: number; callMs?: number}>): Promise<Fixture> {
	const platform = await startPlatformServer(new PlatformStandin(clock));
	const engine = await startEngineServer(new EngineStandin(clock, {seed: 1, model: 'm', weights: 'v1'}));
	const service = new ServiceStandin(clock, {callMs: options.callMs ?? 20});
	const ledger = await startServiceServer(service);
	const platformOrigin = `http://${platform.address}`;
	const published = await publishFragments(createHttpObjectStore(platformOrigin), [{
		file: 'stock.json', text: JSON.stringify({
			service: 'stock',
			routes: [{name: 'chat', pool: 'language'}, {
				name: 'ledger', pool: 'ledger', firstTokenMs: 20_000, repeatable: false,
			}],
			pools: [
				{
					name: 'language', kind: 'engine', model: 'm', weights: 'v1', targets: [{name: 'e1', address: engine.address, zone: 'esbjerg'}],
				},
				{name: 'ledger', kind: 'service', targets: [{name: 's1', address: ledger.address, zone: 'esbjerg'}]},
			],
			customers: [{
				name: 'installer', keyDigests: [digestKey('key')], routes: ['chat', 'ledger'], limit: {requestsPerSecond: 100},
			}],
		}),
	}]);
	if (!published.ok) {
		throw new Error(JSON.stringify(published.error));
	}

	const settings = parseSettings(JSON.stringify({
		name: 'r1', zone: 'esbjerg', listen: '127.0.0.1:0', adminListen: '127.0.0.1:0', platformOrigin, logLevel: 'silent',
		stop: {balancerMs: 200, drainMs: options.drainMs},
	}));
	if (!settings.ok) {
		throw new Error(JSON.stringify(settings.error));
	}

	const instance = await startInstance(settings.value);
	t.teardown(async () => Promise.all([platform.destroy(), engine.destroy(), ledger.destroy()]));
	await waitFor(() => instance.lifecycle.isReady);
	return {instance, service, open: () => new Connection(instance.address)};
}

// Guards against a drain that ends, and closes connections, while the body of a request is still arriving.
t.test('the drain waits for a body that is still arriving', async t => {
	const {instance, open} = await startFixture({drainMs: 60_000});
	const caller = open();
	const {head, body} = formatChat({});
	caller.write(head);
	let isDrained = false;
	const stopped = instance.drain().then(async () => {
		isDrained = true;
		await instance.stop();
	});
	await waitFor(() => instance.lifecycle.phase === 'refusing');
	await clock.sleep(300);
	t.notOk(isDrained);
	caller.write(body);
	await stopped;
	t.ok(await waitFor(() => caller.isClosed));
	t.match(caller.text, /503[\s\S]*"stopping"/v);
});

// Guards against a movement that is cut at a stop because its caller has left.
t.test('the drain waits for a call that goes on without its caller, until its outcome is recorded', async t => {
	const {instance, service, open} = await startFixture({drainMs: 60_000, callMs: 1000});
	const caller = open();
	caller.write(movement);
	t.ok(await waitFor(() => instance.router.countRunning() === 1));
	await clock.sleep(100);
	await caller.leave();
	await instance.drain();
	t.equal(service.ledger.length, 1);
	t.equal(instance.telemetry.getCounter('claim_writes_total', {result: 'answered'}), 1);
	await instance.stop();
});

// Guards against requests without an answer at the end of a drain, and against the status 503 for requests that may have run.
t.test('requests that outlast the drain are told what is known about them', async t => {
	const {instance, open} = await startFixture({drainMs: 300, callMs: 60_000});
	const [arriving, collected, streamed, moved] = [open(), open(), open(), open()];
	arriving.write(formatChat({}).head);
	for (const [caller, fields] of [[collected, {max_tokens: 100_000}], [streamed, {max_tokens: 100_000, stream: true}]] as const) {
		const {head, body} = formatChat(fields);
		caller.write(head + body);
	}

	moved.write(movement);
	t.ok(await waitFor(() => instance.router.countRunning() === 3 && streamed.text.includes('content')));
	await instance.drain();
	await instance.stop();
	t.ok(await waitFor(() => [arriving, collected, streamed, moved].every(caller => caller.isClosed)));
	t.match(arriving.text, /503[\s\S]*"stopping"[\s\S]*"not_run"/v);
	t.match(collected.text, /^HTTP\/1.1 502[\s\S]*"stopped"[\s\S]*"ran":"ran"/v);
	t.match(moved.text, /^HTTP\/1.1 502[\s\S]*"stopped"[\s\S]*"unknown"/v);
	t.match(streamed.text, /200[\s\S]*"stopped"/v);
	t.notMatch(streamed.text, /DONE|\n0\r\n\r\n/v);
	t.equal(instance.telemetry.getCounter('drain_cut_requests_total'), 4);
});
