/** One `apricotdoor serve` process of the fleet bench: its settings, log lines and resource usage. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import readline from 'node:readline';
import {fetch} from 'undici';
import type {Clock} from '#clock';

/** Addresses and settings of one instance. */
export type InstancePlan = Readonly<{
	name: string;
	zone: string;
	address: string;
	adminAddress: string;
	peerAddress: string;
	platformOrigin: string;
	seeds: readonly string[];
}>;

/** Resource usage of a process since its start; `rssMb` is the current value, and `peerBytes` is the control traffic between instances. */
export type ResourceUsage = Readonly<{atMs: number; cpuMs: number; rssMb: number; peerBytes: number}>;

/** A line of the log of an instance; `atMs` is the time at which the bench read it. */
export type LogLine = Readonly<{atMs: number; msg: string; generation?: number; target?: string}>;

/** Unit of the processor times in `/proc/PID/stat`, in milliseconds. */
const msPerTick = 10;
const stopTimeoutMs = 10_000;

/** A running instance process. */
export class FleetProcess {
	readonly plan: InstancePlan;
	readonly logLines: LogLine[] = [];
	readonly #child: ChildProcess;
	readonly #clock: Clock;
	readonly #exited: Promise<unknown>;

	constructor(plan: InstancePlan, options: Readonly<{clock: Clock; program: string; folder: string; balancerMs: number}>) {
		const {clock, program, folder, balancerMs} = options;
		this.plan = plan;
		this.#clock = clock;
		const settingsPath = path.join(folder, `${plan.name}.json`);
		writeFileSync(settingsPath, JSON.stringify({
			name: plan.name, zone: plan.zone, listen: plan.address, adminListen: plan.adminAddress, platformOrigin: plan.platformOrigin,
			peers: {listen: plan.peerAddress, secret: 'secret of the fleet bench', seeds: plan.seeds}, stop: {balancerMs, drainMs: 20_000},
		}));
		this.#child = spawn(process.execPath, [program, 'serve', '--settings', settingsPath], {stdio: ['ignore', 'ignore', 'pipe']});
		this.#exited = once(this.#child, 'exit');
		void this.#readLogLines();
	}

	/** Reads the readiness endpoint; an instance that does not answer within 500 ms is not ready. */
	async isReady(): Promise<boolean> {
		try {
			const answer = await fetch(`http://${this.plan.adminAddress}/readyz`, {signal: AbortSignal.timeout(500)});
			await answer.text();
			return answer.status === 200;
		} catch {
			return false;
		}
	}

	/** Reads processor time and memory from `/proc`, and control traffic from the metrics endpoint. */
	async measureUsage(): Promise<ResourceUsage> {
		const stat = readFileSync(`/proc/${this.#child.pid}/stat`, 'utf8');
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		// Index 11 is utime and index 12 is stime, counted from the field after the name.
		const rss = /VmRSS:\s+(\d+)/v.exec(readFileSync(`/proc/${this.#child.pid}/status`, 'utf8'));
		const answer = await fetch(`http://${this.plan.adminAddress}/metrics`);
		const metrics = await answer.text();
		const peerBytes = [...metrics.matchAll(/^apricotdoor_peer_bytes_total\{[^\}]*\} (\d+)/gmv)].reduce((sum, match) => sum + Number(match[1]), 0);
		return {
			atMs: this.#clock.now(), cpuMs: (Number(fields[11]) + Number(fields[12])) * msPerTick, rssMb: Number(rss?.[1] ?? 0) / 1024, peerBytes,
		};
	}

	/** Sends SIGTERM and waits until the process exits; sends SIGKILL after the time-out. */
	async stop(): Promise<void> {
		if (this.#child.exitCode !== null || this.#child.signalCode !== null) {
			return;
		}

		this.#child.kill('SIGTERM');
		const cancel = this.#clock.setTimer(stopTimeoutMs, () => {
			this.#child.kill('SIGKILL');
		});
		await this.#exited;
		cancel();
	}

	/** Sends SIGKILL and waits until the process has exited. */
	async kill(): Promise<void> {
		if (this.#child.exitCode === null && this.#child.signalCode === null) {
			this.#child.kill('SIGKILL');
			await this.#exited;
		}
	}

	async #readLogLines(): Promise<void> {
		for await (const line of readline.createInterface({input: this.#child.stderr!})) {
			if (line.startsWith('{')) {
				this.logLines.push({...JSON.parse(line) as Omit<LogLine, 'atMs'>, atMs: this.#clock.now()}); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- lines are written by the product's own logger
			}
		}
	}
}
