/**
 * Measures requests that run at most once: the rate that the platform's write
 * limit allows, the writes for each request, and the latency that claims add.
 * Eight instances run on a manual clock, so times are virtual.
 */
import process from 'node:process';
import type {Command} from 'commander';
import {Claims} from '#claims';
import {ManualClock} from '#clock';
import {createRandom, type AnswerEvent, type RoutedRequest} from '#core';
import {createObjectStoreClient} from '#object-store';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

/** Results of one request rate; a movement is one answered request. */
type ClaimsMeasurements = Readonly<{
	sentPerSecond: number;
	writesPerSecond: number;
	answeredPerSecond: number;
	refused: number;
	writesPerMovement: number;
	readsPerMovement: number;
	addedMsMedian: number;
	addedMs95: number;
}>;

const instanceCount = 8;
const platformWritesPerSecond = 300;
const serviceMs = 20;
const durationMs = 20_000;
const drainMs = 10_000;
const rates = [20, 50, 100, 140, 200];

const customer = {
	name: 'installer', keyDigests: [], routes: ['ledger'], weight: 1, priority: 5,
	limit: {requestsPerSecond: 1000, burst: 1000, concurrent: 1000},
} as const;
const pool = {
	name: 'ledger', kind: 'service', pieceTokens: 1, checksFencing: false, loadsAtOnce: 1, minLoaded: 0, slots: 8, targets: [],
} as const;
const route = {
	name: 'ledger', pool: 'ledger', firstTokenMs: 1000, tokenGapMs: 100, timeoutMs: 5000, repeatable: false, calls: [],
} as const;

export function registerClaimsBench(program: Command): void {
	program.command('claims')
		.description('Requests that run at most once: rate under the write limit of the platform, writes for each request and added latency.')
		.option('--json', 'write one JSON object')
		.action(async (options: Readonly<{json?: boolean}>) => {
			const rows: ClaimsMeasurements[] = [];
			for (const rate of rates) {
				rows.push(await measureClaims(rate));
			}

			process.stdout.write(options.json ? `${JSON.stringify(rows)}\n` : rows.map(row => renderRow(row)).join(''));
		});
}

async function measureClaims(sentPerSecond: number): Promise<ClaimsMeasurements> {
	const clock = new ManualClock();
	const random = createRandom(1);
	const platform = new PlatformStandin(clock, {writesPerSecond: platformWritesPerSecond});
	const telemetry = createTelemetry({level: 'silent'});
	const instances = Array.from({length: instanceCount}, (_, index) => new Claims({
		clock, random, telemetry, owner: {name: `r${index}`, incarnation: `r${index}!`}, isLive: () => true,
		platform: createObjectStoreClient({
			platform, clock, random, telemetry, countInstances: () => instanceCount,
		}, {rates: {writesPerSecond: platformWritesPerSecond, readsPerSecond: 2000}}).claims,
	}));
	const addedMs: number[] = [];
	let refused = 0;
	const send = async (claims: Claims) => {
		const request = createRequest(random.createId(), clock.now());
		for await (const event of claims.run(request, new AbortController().signal, () => runService(clock))) {
			if (event.kind === 'end') {
				addedMs.push(clock.now() - request.arrivedMs - serviceMs);
			}

			refused += event.kind === 'refused' ? 1 : 0;
		}
	};

	const cancel = clock.subscribe(1000 / sentPerSecond, () => {
		void send(instances[random.integerBelow(instanceCount)]!);
	});
	await clock.advance(durationMs);
	cancel();
	await clock.advance(drainMs);
	addedMs.sort((a, b) => a - b);
	return {
		sentPerSecond, writesPerSecond: platform.served.write * 1000 / (durationMs + drainMs), answeredPerSecond: addedMs.length * 1000 / durationMs, refused,
		writesPerMovement: platform.served.write / addedMs.length, readsPerMovement: platform.served.read / addedMs.length,
		addedMsMedian: addedMs[Math.floor(addedMs.length / 2)]!, addedMs95: addedMs[Math.floor(addedMs.length * 0.95)]!,
	};
}

async function * runService(clock: ManualClock): AsyncGenerator<AnswerEvent> {
	await clock.sleep(serviceMs);
	yield {kind: 'end', finish: 'stop'};
}

function createRequest(id: string, nowMs: number): RoutedRequest {
	return {
		id, customer, route, pool, isRepeatable: false, idempotencyKey: id, arrivedMs: nowMs, deadlineMs: nowMs + route.timeoutMs,
		work: {
			kind: 'call', method: 'POST', path: '/movements', body: new Uint8Array(),
		},
	};
}

function renderRow(row: ClaimsMeasurements): string {
	return `${row.sentPerSecond}/s sent: ${row.answeredPerSecond.toFixed(1)}/s answered, ${row.refused} refused, ${row.writesPerMovement.toFixed(2)} writes and `
		+ `${row.readsPerMovement.toFixed(2)} reads each, added ${row.addedMsMedian.toFixed(1)} ms (95th percentile: ${row.addedMs95.toFixed(1)} ms)\n`;
}
