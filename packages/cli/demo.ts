/** `apricotdoor demo`: stand-ins and two routers on loopback, and a few requests. */
import process from 'node:process';
import {fetch} from 'undici';
import {digestKey} from '#admission';
import {createSystemClock, type Clock} from '#clock';
import {publishFragments, type ServiceFile} from '#configuration';
import type {HttpServer} from '#http';
import {startInstance, type Instance} from '#node';
import {createHttpPlatform} from '#platform';
import {
	EngineStandin, PlatformStandin, ServiceStandin, startEngineServer, startPlatformServer, startServiceServer,
	type Execution,
} from '#standins';

const demoKey = 'demo-key';
const engineCount = 3;
const memberCount = 2;
const readyLimitMs = 10_000;
const readyStepMs = 50;

/** Runs the demonstration; the exit code is 0 when every answer came. */
export async function runDemo(): Promise<void> {
	const clock = createSystemClock();
	const ledger: Execution[] = [];
	const platform = await startPlatformServer(new PlatformStandin(clock));
	const engines = await startAll(engineCount, async index => startEngineServer(new EngineStandin(clock, {seed: index + 1, model: 'stock-chat', weights: 'v1'})));
	const members = await startAll(memberCount, async index => startServiceServer(new ServiceStandin(clock, {seed: index + 1, ledger})));
	const file = makeServiceFile(engines, members);
	const published = await publishFragments(createHttpPlatform(`http://${platform.address}`), [{file: 'demo.json', text: JSON.stringify(file)}]);
	if (!published.ok) {
		throw new Error(`the demo's configuration was not accepted: ${JSON.stringify(published.error)}`);
	}

	console.log(`published generation ${published.value.generation}`);
	const routers = await startAll(2, async index => startInstance({
		name: `router-${index + 1}`, zone: 'esbjerg', listen: '127.0.0.1:0', adminListen: '127.0.0.1:0',
		platformOrigin: `http://${platform.address}`, maxBodyBytes: 4_194_304, reportPollMs: 250, logLevel: 'silent', operatorTokenDigests: [],
	}));
	await waitForReady(clock, routers);
	const answered = await sendRequests(routers);
	console.log(`ledger holds ${ledger.length} movement(s)`);
	await Promise.all([...routers.map(async router => router.stop()), ...[platform, ...engines, ...members].map(async server => server.destroy())]);
	process.exit(answered && ledger.length === 1 ? 0 : 1); // eslint-disable-line unicorn/no-process-exit
}

async function startAll<Item>(count: number, start: (index: number) => Promise<Item>): Promise<readonly Item[]> {
	return Promise.all(Array.from({length: count}, async (_, index) => start(index)));
}

function makeServiceFile(engines: readonly HttpServer[], members: readonly HttpServer[]): Partial<ServiceFile> & Readonly<{service: string}> {
	const zones = ['esbjerg', 'kolding', 'aarhus'];
	const makeTargets = (prefix: string, servers: readonly HttpServer[]) => servers.map((server, index) => ({
		name: `${prefix}-${index + 1}`, address: server.address, zone: zones[index % zones.length]!,
	}));
	const shared = {
		pieceTokens: 2000, checksFencing: true, loadsAtOnce: 2, minLoaded: 1, slots: 8,
	};
	const route = {firstTokenMs: 1800, tokenGapMs: 39, timeoutMs: 30_000};
	return {
		service: 'demo',
		pools: [
			{
				...shared, name: 'language', kind: 'engine', model: 'stock-chat', weights: 'v1', targets: makeTargets('engine', engines),
			},
			{
				...shared, name: 'ledger', kind: 'service', targets: makeTargets('ledger', members),
			},
		],
		routes: [
			{
				...route, name: 'stock-chat', pool: 'language', repeatable: true, calls: [],
			},
			{
				...route, name: 'ledger', pool: 'ledger', repeatable: true, calls: [{method: 'POST', path: '/movements', repeatable: false}],
			},
		],
		customers: [{
			name: 'installer', keyDigests: [digestKey(demoKey)], routes: ['stock-chat', 'ledger'],
			limit: {requestsPerSecond: 100, burst: 100, concurrent: 64}, weight: 1, priority: 5,
		}],
	};
}

async function waitForReady(clock: Clock, routers: readonly Instance[]): Promise<void> {
	const endMs = clock.now() + readyLimitMs;
	while (routers.some(router => !router.router.configuration.current)) {
		if (clock.now() > endMs) {
			throw new Error('the routers did not become ready');
		}

		await clock.sleep(readyStepMs);
	}
}

async function sendRequests(routers: readonly Instance[]): Promise<boolean> {
	const preamble = 'You answer stock queries about meter batches. '.repeat(600);
	const dossier = 'Batch 17: 400 meters, sealed, calibrated. '.repeat(400);
	let answered = true;
	for (const [index, question] of ['How many meters?', 'Which seals?', 'Last calibration?', 'Where is it?'].entries()) {
		const router = routers[index % routers.length]!;
		const body = {
			model: 'stock-chat', stream: true, max_tokens: 12,
			messages: [{role: 'system', content: preamble}, {role: 'user', content: dossier}, {role: 'user', content: question}],
		};
		const answer = await post(router, '/v1/chat/completions', body);
		const text = await answer.text();
		answered &&= text.includes('[DONE]');
		console.log(`router-${(index % routers.length) + 1} "${question}" -> ${answer.headers.get('x-target')}, ${answer.headers.get('x-cached-tokens')} tokens cached`);
		if (index === 0) {
			console.log(text.split('\n').filter(line => line !== '').slice(0, 3).join('\n'));
		}
	}

	const answer = await post(routers[0]!, '/services/ledger/movements', {meter: 'M-1', to: 'kolding'}, {'idempotency-key': 'demo-1'});
	console.log(`movement -> ${answer.status} ${await answer.text()}`);
	return answered && answer.status === 200;
}

async function post(router: Instance, path: string, body: unknown, headers: Readonly<Record<string, string>> = {}) {
	return fetch(`http://${router.address}${path}`, {
		method: 'POST',
		headers: {'content-type': 'application/json', authorization: `Bearer ${demoKey}`, ...headers},
		body: JSON.stringify(body),
	});
}
