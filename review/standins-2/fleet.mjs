/**
 * Starts instances of apricotdoor as processes, with the command of the deploy
 * file, each on a loopback address of its own, and ends them. Keeps the record of a
 * case.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {Agent, request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const exitCodes = {held: 0, broken: 1, unable: 2};

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** The record of a case: what was sent, answered and run. Times are seconds since its begin. */
export class CaseRecord {
	#file;
	#startMs = performance.now();

	constructor(file) {
		this.#file = file;
		writeFileSync(file, '');
	}

	get nowMs() {
		return performance.now() - this.#startMs;
	}

	/** Converts a time of `performance.now()` to milliseconds since the begin. */
	since(atMs) {
		return atMs - this.#startMs;
	}

	write(text) {
		appendFileSync(this.#file, `${(this.nowMs / 1000).toFixed(3).padStart(8)} ${text}\n`);
	}
}

async function findFreePort(host) {
	const server = createServer();
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

/** Reads the command of the role from the deploy file. */
function readCommand() {
	const [, command] = /^run = "(?<words>.*)"$/mv.exec(readFileSync('deploy/system.toml', 'utf8'));
	return command.split(' ');
}

function formatSettings({name, ip, zone, ports, seeds, storeAddress, fields}) {
	return Object.entries({
		Node: name, Role: 'router', MachineClass: 'front', Serves: 'front,control', Ip: ip, Zone: zone, Region: 'dk-vest',
		'Zones.esbjerg': 'dk-vest', 'Zones.kolding': 'dk-vest', 'Zones.aarhus': 'dk-vest',
		'Listen.Front': `${ip}:${ports.front}`, 'Listen.Ready': `${ip}:${ports.ready}`, 'Listen.Control': `${ip}:${ports.control}`,
		InnerPorts: `${ports.inner},${ports.inner + 15}`, Seeds: seeds.join(','), Bootstrap: 'true',
		'Limits.CpuShare': '0.675', 'Limits.Cores': '1', 'Limits.MemoryMb': '350', 'Limits.MaxFds': '4100', 'Limits.LinkMbps': '1000.0', 'Limits.DiskMb': '0',
		Discovery: 'platform', Entry: 'vip', HeartbeatMs: '1200',
		'Bounds.ContactMs': '3000', 'Bounds.DrainMs': '2000', 'Bounds.GraceS': '8', 'Bounds.ConfigMs': '2000', 'Bounds.RetryBudgetRatio': '0.2', 'Bounds.RetryWindowS': '10',
		'Bounds.RetrySlack': '56', 'Bounds.RequireFencing': 'true', 'Bounds.LeaseMs': '3000', 'Bounds.VersionMs': '8000',
		'Platform.Address': storeAddress, 'Platform.WritesPerS': '400', 'Platform.ReadsPerS': '2000', 'Platform.HistoryS': '20', 'Platform.ValueBytes': '1048576', ...fields,
	}).map(([field, value]) => `${field}=${value}\n`).join('');
}

/** Starts a process with the command of the deploy file. */
function startProcess(settingsFile, log) {
	const [program, ...words] = readCommand();
	const child = spawn(program === 'node' ? process.execPath : program, words, {
		stdio: ['ignore', 'pipe', 'inherit'], env: {PATH: process.env.PATH, HOME: process.env.HOME ?? '', APRICOTDOOR_CONFIG: settingsFile},
	});
	child.stdout.on('data', text => {
		appendFileSync(log, text);
	});
	return child;
}

async function endProcess(child) {
	if (child.exitCode === null && child.signalCode === null) {
		const exit = new Promise(resolve => {
			child.once('exit', resolve);
		});
		child.kill('SIGKILL');
		await exit;
	}
}

/** Instances of one deployment. */
export class Fleet {
	/** `{name, host, front, ready, file, log, child}` of each instance; `file` holds its settings. */
	instances = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'apricotdoor-review-'));
	#agent = new Agent({keepAlive: true, maxSockets: Infinity});

	/** Prepares settings of `count` instances in zones by turns, and starts the first `started` of them; waits until these are ready. */
	async start(count, storeAddress, {fields = {}, started = count, lateFields = {}} = {}) {
		const zones = ['esbjerg', 'kolding', 'aarhus'];
		// The inner ports are the same on all machines.
		const ports = {};
		for (const use of ['front', 'ready', 'control', 'inner']) {
			ports[use] = await findFreePort('127.0.0.1');
		}

		const hosts = Array.from({length: count}, (_item, index) => `127.0.${1 + (process.pid % 200)}.${index + 10}`);
		for (const [index, ip] of hosts.entries()) {
			const name = `front-${zones[index % zones.length]}-${Math.floor(index / zones.length) + 1}`;
			const file = path.join(this.#folder, `${name}.conf`);
			writeFileSync(file, formatSettings({
				name, ip, zone: zones[index % zones.length], ports, seeds: hosts.slice(0, 3).map(host => `${host}:${ports.control}`), storeAddress,
				fields: index < started ? fields : {...fields, ...lateFields},
			}));
			const log = path.join(this.#folder, `${name}.log`);
			this.instances.push({
				name, host: ip, front: ports.front, ready: ports.ready, file, log, child: index < started ? startProcess(file, log) : undefined,
			});
		}

		await this.waitUntilReady();
		// The platform waits longer than the instances take to find each other.
		await sleep(3000);
	}

	async waitUntilReady() {
		const untilMs = performance.now() + 20_000;
		for (const instance of this.instances.filter(({child}) => child)) {
			while (!await this.isReady(instance)) {
				if (performance.now() > untilMs || instance.child.exitCode !== null) {
					throw new Error(`${instance.name} did not become ready`);
				}

				await sleep(100);
			}
		}
	}

	/** Starts the process of one instance that was prepared. */
	startOne(instance) {
		instance.child = startProcess(instance.file, instance.log);
	}

	/** Kills all processes at the same moment. */
	async killAll() {
		await Promise.all(this.instances.filter(({child}) => child).map(async ({child}) => endProcess(child)));
	}

	/** Starts all processes again, as they were, and waits until all are ready. */
	async restartAll() {
		for (const instance of this.instances) {
			instance.child = startProcess(instance.file, instance.log);
		}

		await this.waitUntilReady();
	}

	/** Closes all connections of requesters. */
	dropConnections() {
		this.#agent.destroy();
		this.#agent = new Agent({keepAlive: true, maxSockets: Infinity});
	}

	async isReady({host, ready}) {
		return new Promise(resolve => {
			const req = httpRequest({
				host, port: ready, path: '/api/readyz', timeout: 1000,
			}, res => {
				res.resume();
				resolve(res.statusCode === 200);
			});
			req.on('error', () => {
				resolve(false);
			});
			req.end();
		});
	}

	/**
	 * Sends a requester's attempt to an instance.
	 *
	 * @returns `{status, headers, text, end}`; `end` is `complete`, `closed` or `timeout`
	 */
	async send({host, front}, {method, path: target, headers, body, timeoutMs}) {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				req.destroy();
				resolve({
					status: 0, headers: {}, text: '', end: 'timeout',
				});
			}, timeoutMs);
			const finish = answer => {
				clearTimeout(timer);
				resolve(answer);
			};

			const req = httpRequest({
				host, port: front, method, path: target, agent: this.#agent,
				headers: {...headers, 'x-apricotdoor-deadline-ms': String(timeoutMs), ...(body !== undefined && {'content-length': Buffer.byteLength(body)})},
			}, res => {
				let text = '';
				res.on('data', part => {
					text += String(part);
				});
				res.on('end', () => {
					finish({
						status: res.statusCode, headers: res.headers, text, end: res.complete ? 'complete' : 'closed',
					});
				});
				res.on('error', () => {
					finish({
						status: res.statusCode, headers: res.headers, text, end: 'closed',
					});
				});
			});
			req.on('error', () => {
				finish({
					status: 0, headers: {}, text: '', end: 'closed',
				});
			});
			req.end(body);
		});
	}

	/** Ends all processes that were started. */
	async stop() {
		this.#agent.destroy();
		await this.killAll();
		if (process.env.KEEP_LOGS === undefined) {
			rmSync(this.#folder, {recursive: true, force: true});
		} else {
			console.log(this.#folder);
		}
	}
}

/** Runs a case: `run` returns whether the rule was broken, and a text for the record. Ends the process with the exit code of a script. */
export async function runCase(file, run) {
	const record = new CaseRecord(file);
	const isTroubled = process.env.TROUBLE !== '0';
	record.write(`begin; disruption: ${isTroubled ? 'yes' : 'no (TROUBLE=0)'}`);
	let code = exitCodes.unable;
	const cleanups = [];
	try {
		const {isBroken, text} = await run({
			record, isTroubled, addCleanup(cleanup) {
				cleanups.unshift(cleanup);
			},
		});
		record.write(`${isBroken ? 'BROKEN' : 'held'}: ${text}`);
		console.log(`${isBroken ? 'BROKEN' : 'held'}: ${text}`);
		code = isBroken ? exitCodes.broken : exitCodes.held;
	} catch (error) {
		record.write(`could not run: ${error.stack}`);
		console.error(error);
	}

	for (const cleanup of cleanups) {
		await cleanup();
	}

	process.exit(code); // eslint-disable-line unicorn/no-process-exit -- timers of the stand-ins may still be pending
}
