/**
 * The frame of a case: a record of what happens, the clean-up of all that the case
 * has started, a time limit, and the exit code. The case itself returns whether
 * the rule was broken.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

/** Root of the repository; paths in the record are relative to it. */
const rootFolder = fileURLToPath(new URL('../..', import.meta.url));

export const exitCodes = {held: 0, broken: 1, notRun: 2};

/** Time after which a case is given up, in milliseconds. */
const limitMs = 110_000;

/** Thrown if a case cannot run as intended. */
export class NotRunError extends Error {
	name = 'NotRunError';
}

/** One run of a case. */
export class Trial {
	/** Whether the disruption takes place; `TROUBLE=0` leaves it out. */
	hasTrouble = process.env.TROUBLE !== '0';
	/** Temporary folder of the run. */
	folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#startedMs = performance.now();
	#lines = [];
	#cleanups = [];
	#children = new Set();

	/** Time since the start, in milliseconds. */
	get nowMs() {
		return Math.round(performance.now() - this.#startedMs);
	}

	/** Adds a line to the record. */
	record(event, details = {}) {
		this.#lines.push(`${String(this.nowMs).padStart(6)} ms  ${event}  ${JSON.stringify(details)}`);
	}

	/** Adds a process that is ended with this one, however this one ends. */
	addProcess(child) {
		this.#children.add(child);
	}

	endProcesses() {
		for (const child of this.#children) {
			child.kill('SIGKILL');
		}
	}

	/** Adds a function that is called at the end, the last one first. */
	addCleanup(cleanup) {
		this.#cleanups.push(cleanup);
	}

	/** Waits for a time, in milliseconds. */
	async wait(ms) {
		await delay(ms);
	}

	/** Waits until a condition holds; the case cannot run if it does not in time. */
	async until(condition, what, timeoutMs = 20_000) {
		const endMs = this.nowMs + timeoutMs;
		while (!(await condition())) {
			if (this.nowMs > endMs) {
				throw new NotRunError(`not in time: ${what}`);
			}

			await delay(50);
		}
	}

	async cleanUp() {
		for (const cleanup of this.#cleanups.toReversed()) {
			try {
				await cleanup();
			} catch (error) {
				this.record('clean-up failed', {error: error.message});
			}
		}

		rmSync(this.folder, {recursive: true, force: true});
	}

	write(file) {
		writeFileSync(file, `${this.#lines.join('\n')}\n`.replaceAll(rootFolder, ''));
	}
}

/**
 * Runs a case and ends the process.
 *
 * @param run runs the case; returns what broke the rule, one text each
 */
export async function runTrial(caseFolder, run) {
	const trial = new Trial();
	trial.record(trial.hasTrouble ? 'run with the disruption' : 'run without the disruption');
	let code = exitCodes.notRun;
	const timeout = new AbortController();
	/** Ends the run where it is: an error of a stand-in or a signal is no verdict on the rule. */
	const giveUp = reason => {
		trial.record('the case could not run', {error: reason});
		trial.endProcesses();
		trial.write(path.join(caseFolder, 'record.txt'));
		process.exit(exitCodes.notRun); // eslint-disable-line unicorn/no-process-exit -- nothing may run on
	};

	process.on('uncaughtException', error => {
		giveUp(error.stack);
	});
	for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
		process.on(signal, () => {
			giveUp(`the script received ${signal}`);
		});
	}

	process.on('exit', () => {
		trial.endProcesses();
	});
	try {
		const breaks = await Promise.race([
			run(trial),
			delay(limitMs, undefined, {signal: timeout.signal}).then(() => {
				throw new NotRunError('the time limit was reached');
			}),
		]);
		for (const text of breaks) {
			trial.record('RULE BROKEN', {text});
		}

		code = breaks.length > 0 ? exitCodes.broken : exitCodes.held;
	} catch (error) {
		trial.record('the case could not run', {error: error instanceof NotRunError ? error.message : error.stack});
	}

	timeout.abort();
	await trial.cleanUp();
	trial.record('end', {code, meaning: Object.keys(exitCodes).find(key => exitCodes[key] === code)});
	trial.write(path.join(caseFolder, 'record.txt'));
	process.exit(code); // eslint-disable-line unicorn/no-process-exit -- the exit code is the verdict, and connections of stand-ins may still be open
}
