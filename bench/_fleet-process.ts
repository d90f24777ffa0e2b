/** One `apricotdoor serve` process of the fleet bench: its settings, its log lines, and what the kernel says of it. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import readline from 'node:readline';
import {fetch} from 'undici';
import type {Clock} from '#clock';

/** Where one instance listens and what it starts with. */
export type InstancePlan = Readonly<{
	name: string;
	zone: string;
	address: string;
	adminAddress: string;
	peerAddress: string;
	platformOrigin: string;
	seeds: readonly string[];
}>;

/** Use of the machine up to a moment. */
export type Usage = Readonly<{atMs: number; cpuMs: number; rssMb: number; peerBytes: number}>;

/** A line of an instance's log, with the time at which the bench read it. */
export type LogLine = Readonly<{atMs: number; msg: string; generation?: number; target?: string}>;

const msPerTick = 10;
const killAfterMs = 10_000;

/** A running process. */
export class FleetProcess {
	readonly plan: InstancePlan;
	readonly lines: LogLine[] = [];
	readonly #child: ChildProcess;
	readonly #clock: Clock;
	readonly #exited: Promise<unknown>;

	/** Starts the process. */
	constructor(plan: InstancePlan, options: Readonly<{clock: Clock; program: string; folder: string; balancerMs: number}>) {
		const {clock, program, folder, balancerMs} = options;
		this.plan = plan;
		this.#clock = clock;
		const settings = path.join(folder, `${plan.name}.json`);
		writeFileSync(settings, JSON.stringify({
			name: plan.name, zone: plan.zone, listen: plan.address, adminListen: plan.adminAddress, platformOrigin: plan.platformOrigin,
			peers: {listen: plan.peerAddress, secret: 'secret of the fleet bench', seeds: plan.seeds}, stop: {balancerMs, drainMs: 20_000},
		}));
		this.#child = spawn(process.execPath, [program, 'serve', '--settings', settings], {stdio: ['ignore', 'ignore', 'pipe']});
		this.#exited = once(this.#child, 'exit');
		void this.#readLines();
	}

	/** Whether the instance says that the balancer should send requests. */
	async isReady(): Promise<boolean> {
		try {
			const answer = await fetch(`http://${this.plan.adminAddress}/readyz`, {signal: AbortSignal.timeout(500)});
			await answer.text();
			return answer.status === 200;
		} catch {
			return false;
		}
	}

	/** Reads processor time and memory from the kernel, and control traffic from the metrics. */
	async measure(): Promise<Usage> {
		const stat = readFileSync(`/proc/${this.#child.pid}/stat`, 'utf8');
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		const rss = /VmRSS:\s+(\d+)/v.exec(readFileSync(`/proc/${this.#child.pid}/status`, 'utf8'));
		const answer = await fetch(`http://${this.plan.adminAddress}/metrics`);
		const metrics = await answer.text();
		const peerBytes = [...metrics.matchAll(/^apricotdoor_peer_bytes_total\{[^\}]*\} (\d+)/gmv)].reduce((sum, match) => sum + Number(match[1]), 0);
		return {
			atMs: this.#clock.now(), cpuMs: (Number(fields[11]) + Number(fields[12])) * msPerTick, rssMb: Number(rss?.[1] ?? 0) / 1024, peerBytes,
		};
	}

	/** Asks the process to stop and waits for it; ends it by force when it does not. */
	async stop(): Promise<void> {
		if (this.#child.exitCode !== null || this.#child.signalCode !== null) {
			return;
		}

		this.#child.kill('SIGTERM');
		const cancel = this.#clock.after(killAfterMs, () => {
			this.#child.kill('SIGKILL');
		});
		await this.#exited;
		cancel();
	}

	/** Ends the process at once. */
	async kill(): Promise<void> {
		if (this.#child.exitCode === null && this.#child.signalCode === null) {
			this.#child.kill('SIGKILL');
			await this.#exited;
		}
	}

	async #readLines(): Promise<void> {
		for await (const line of readline.createInterface({input: this.#child.stderr!})) {
			if (line.startsWith('{')) {
				this.lines.push({...JSON.parse(line) as Omit<LogLine, 'atMs'>, atMs: this.#clock.now()}); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- lines are written by the product's own logger
			}
		}
	}
}
