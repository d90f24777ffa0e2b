/** Starts instances of apricotdoor as processes, with the command of the deploy file, and restarts them as the platform does. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import readline from 'node:readline';
import {fileURLToPath} from 'node:url';

/** Root of the repository. */
export const rootFolder = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

const [, command] = /^run = "(?<command>.*)"$/mv.exec(readFileSync(path.join(rootFolder, 'deploy/system.toml'), 'utf8'));

/** Time after which the platform restarts a process that has ended, in milliseconds. */
const restartDelayMs = 500;

/** Settings of a small deployment, as `fleetbench wire` shows them for maalerlager. */
const commonFields = {
	Role: 'router', MachineClass: 'front', Serves: 'front,control', Region: 'dk-vest', 'Zones.esbjerg': 'dk-vest', 'Zones.kolding': 'dk-vest', 'Zones.aarhus': 'dk-vest',
	Bootstrap: 'true', InFaultBudget: 'false', 'Limits.CpuShare': '0.675', 'Limits.Cores': '1', 'Limits.MemoryMb': '350', 'Limits.MaxFds': '4100', 'Limits.LinkMbps': '1000.0',
	'Limits.DiskMb': '0', Discovery: 'platform', Entry: 'vip', HeartbeatMs: '1200',
	Contracts: 'base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform',
	'FaultTolerance.Machines': '1', 'FaultTolerance.Zones': '0', 'FaultTolerance.Regions': '0',
	'Bounds.SeedLagS': '3', 'Bounds.ReuseAfterS': '2', 'Bounds.ContactMs': '3000', 'Bounds.AckMs': '4000', 'Bounds.CatchUpS': '4', 'Bounds.DrainMs': '2000', 'Bounds.GraceS': '8',
	'Bounds.LossSlackMs': '200', 'Bounds.ConfigMs': '2000', 'Bounds.RollbackSlackMs': '250', 'Bounds.SkewMaxMs': '5000', 'Bounds.FailClosed': 'false', 'Bounds.RevokeMs': '5000',
	'Bounds.RetryBudgetRatio': '0.2', 'Bounds.RetryWindowS': '10', 'Bounds.RetrySlack': '56', 'Bounds.RecoverS': '12', 'Bounds.TransitMs': '120', 'Bounds.AgainS': '10',
	'Bounds.RequireFencing': 'true', 'Bounds.LeaseMs': '3000', 'Bounds.ThawMs': '300', 'Bounds.VersionMs': '8000', 'Bounds.VersionAllMs': '11000',
	'Platform.form': 'objects', 'Platform.WritesPerS': '400', 'Platform.ReadsPerS': '2000', 'Platform.HistoryS': '20', 'Platform.ValueBytes': '1048576', 'Platform.TtlMinMs': '1000',
};

/** Returns a loopback address on which these ports are free. */
export async function findHost(ports) {
	for (let attempt = 0; attempt < 200; attempt++) {
		const host = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}.${2 + Math.floor(Math.random() * 250)}`;
		const free = await Promise.all(ports.map(async port => isFree(host, port)));
		if (free.every(Boolean)) {
			return host;
		}
	}

	throw new Error('no loopback address has these ports free');
}

async function isFree(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

const [, metricsPort] = /--metrics-port (?<port>\d+)/v.exec(command);
const ports = {
	front: 8782, control: 8783, ready: 8789, inner: 7340, metrics: Number(metricsPort),
};

export class Router {
	/** Ends of the process that nobody has asked for. */
	ownEnds = [];
	/** Lines of the log, parsed. */
	logLines = [];
	/** Highest resident memory that was measured, in MB. */
	peakMemoryMb = 0;
	#trial;
	#settings;
	#child;
	#isStopping = false;
	#isReplaced = false;

	constructor(trial, {name, zone, host, seeds, storeAddress}) {
		this.#trial = trial;
		this.name = name;
		this.host = host;
		this.#settings = {
			Node: name, Ip: host, Zone: zone, 'Listen.Front': `${host}:${ports.front}`, 'Listen.Ready': `${host}:${ports.ready}`, 'Listen.Control': `${host}:${ports.control}`,
			InnerPorts: `${ports.inner},${ports.inner + 15}`, Seeds: seeds.map(seed => `${seed}:${ports.control}`).join(','), 'Platform.Address': storeAddress, ...commonFields,
		};
		this.front = {host, port: ports.front};
		trial.addCleanup(async () => this.kill());
	}

	get pid() {
		return this.#child.pid;
	}

	/** Starts the process; when it ends by itself, it is started again. */
	start() {
		const settingsPath = path.join(this.#trial.folder, `${this.name}.conf`);
		writeFileSync(settingsPath, Object.entries(this.#settings).map(([key, value]) => `${key}=${value}\n`).join(''));
		const [program, ...words] = command.split(' ');
		const {PATH = '', HOME = '', LANG = ''} = process.env;
		const child = spawn(program, words, {
			cwd: rootFolder, stdio: ['ignore', 'pipe', 'pipe'], env: {
				PATH, HOME, LANG, APRICOTDOOR_CONFIG: settingsPath,
			},
		});
		this.#child = child;
		this.#trial.addProcess(child);
		this.#isStopping = false;
		let errors = '';
		child.stderr.on('data', chunk => {
			errors = (errors + String(chunk)).slice(-4000);
		});
		readline.createInterface({input: child.stdout}).on('line', line => {
			this.#readLogLine(line);
		});
		child.once('exit', (code, signal) => {
			if (this.#child !== child || this.#isStopping) {
				return;
			}

			this.ownEnds.push({atMs: this.#trial.nowMs, code, signal});
			this.#trial.record('router ended by itself', {
				router: this.name, code, signal, error: errors.split('\n').filter(line => /Error|at |FATAL/v.test(line)).slice(0, 6),
			});
			setTimeout(() => {
				if (!this.#isReplaced) {
					this.start();
				}
			}, restartDelayMs);
		});
	}

	/** Stops the process as the platform does before planned work; it is not started again. */
	async terminate() {
		this.#isStopping = true;
		this.#isReplaced = true;
		const child = this.#child;
		this.#trial.record('SIGTERM', {router: this.name});
		child.kill('SIGTERM');
		if (child.exitCode === null && child.signalCode === null) {
			await once(child, 'exit');
		}

		this.#trial.record('router stopped', {router: this.name, code: child.exitCode, signal: child.signalCode});
	}

	/** Ends the process at once, for good. */
	async kill() {
		this.#isStopping = true;
		this.#isReplaced = true;
		const child = this.#child;
		if (child && child.exitCode === null && child.signalCode === null) {
			child.kill('SIGKILL');
			await once(child, 'exit');
		}
	}

	/** Freezes the process until {@link Router.thaw}. */
	freeze() {
		this.#child.kill('SIGSTOP');
		this.#trial.record('router freezes', {router: this.name});
	}

	thaw() {
		this.#child.kill('SIGCONT');
		this.#trial.record('router wakes', {router: this.name});
	}

	/** Asks as the platform does whether the instance is ready. */
	async isReady() {
		return new Promise(resolve => {
			const req = get({
				host: this.host, port: ports.ready, path: '/api/readyz', agent: false, timeout: 1000,
			}, res => {
				res.resume();
				resolve(res.statusCode === 200);
			});
			req.on('timeout', () => {
				req.destroy();
			});
			req.on('error', () => {
				resolve(false);
			});
		});
	}

	#readLogLine(line) {
		try {
			this.logLines.push({...JSON.parse(line), atMs: this.#trial.nowMs});
		} catch {
			this.logLines.push({msg: line, atMs: this.#trial.nowMs});
		}
	}
}

/** Starts `count` instances in the zones of a small deployment and waits until all are ready. */
export async function startRouters(trial, count, storeAddress, options = {}) {
	const zones = ['esbjerg', 'kolding', 'aarhus'];
	const hosts = [];
	for (let index = 0; index < count; index++) {
		hosts.push(await findHost(Object.values(ports)));
	}

	const routers = hosts.map((host, index) => new Router(trial, {
		name: `front-${zones[index % zones.length]}-${1 + Math.floor(index / zones.length)}`, zone: zones[index % zones.length], host, seeds: hosts.slice(0, 3), storeAddress,
		...options,
	}));
	for (const router of routers) {
		router.start();
	}

	const areReady = async () => {
		const ready = await Promise.all(routers.map(async router => router.isReady()));
		return ready.every(Boolean);
	};

	await trial.until(areReady, 'all routers are ready');
	trial.record('routers are ready', {routers: routers.map(({name, front}) => `${name} ${front.host}`)});
	return routers;
}
