/** Child process of the relay bench: the store, and runners that answer without prefill time. */
import {startRunner} from '../platform/testing/runner-server.ts';
import {StoreServer} from '../platform/testing/store-server.ts';
import type {RoleReady} from './_role-ready.ts';
import {createSystemClock} from '#clock';
import type {RawReply, RawRequest} from '#standins';

/** Host, path and model of the only route. */
export const relayRoute = {host: 'bench.example', path: '/ask/', model: 'm0'} as const;

/** API key of the tenant that sends the load. */
export const relayKey = 'key-of-the-relay-bench';

const runnerCount = 6;
const eventsPerAnswer = 32;
const encodeChunk = (id: number) => {
	const text = `id: ${id}\ndata: a word or two\n\n`;
	return `${text.length.toString(16)}\r\n${text}\r\n`;
};

/** Starts the store and the runners. */
export async function runRelayBackend({gapMs = 0}: RoleReady): Promise<RoleReady> {
	const clock = createSystemClock();
	const store = new StoreServer(clock);
	await store.start();
	store.put('config', 'main', createConfiguration());
	const addresses: string[] = [];
	for (let index = 0; index < runnerCount; index++) {
		const runner = await startRunner({
			id: `i-${index}`, service: 'llm', store, clock, model: relayRoute.model,
		});
		runner.setScript((request, reply) => {
			void sendAnswer(request, reply, async () => {
				await clock.sleep(gapMs);
			});
		});
		addresses.push(runner.target.address);
	}

	return {address: addresses[0]!, platform: store.address};
}

async function sendAnswer({headers}: RawRequest, reply: RawReply, pause: () => Promise<void>): Promise<void> {
	reply.write(`HTTP/1.1 200 OK\r\nx-apricotdoor-request-id: ${String(headers['x-apricotdoor-request-id'])}\r\n`
		+ 'x-apricotdoor-response-stamp: s1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n');
	for (let id = 1; id <= eventsPerAnswer; id++) {
		reply.write(encodeChunk(id));
		await pause();
	}

	reply.write('0\r\n\r\n');
}

function createConfiguration(): unknown {
	return {
		Version: 1,
		Routes: [{
			Name: 'ask', Host: relayRoute.host, PathPrefix: relayRoute.path, Kind: 'streaming', Resumable: true, TimeoutMs: 15_000, TargetLatencyMs: 500,
			GapAimMs: 400, Service: 'llm', MaxAttempts: 2, Public: false,
		}],
		Services: [{
			Name: 'llm', HealthPath: '/healthz', MaxConns: 1000, Engine: {
				Slots: 64, KvCapacity: 262_053, KvTokenBytes: 163_840, LinkMbps: 1_100_000, Models: [{Name: relayRoute.model}],
			},
		}],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 1_000_000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 60_000,
		},
		Tenants: [{Name: 'bench', ApiKeys: [relayKey]}],
	};
}
