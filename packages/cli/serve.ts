/** `apricotdoor serve`: runs one instance until SIGTERM or SIGINT. */
import type {EventEmitter} from 'node:events';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {formatFileError} from './_fragments.ts';
import type {CommandIo} from './io.ts';
import {getErrorMessage, waitForAbort} from '#core';
import {parseSettings, startInstance} from '#node';

/** Options of `apricotdoor serve`. */
export type ServeOptions = Readonly<{settings: string}>;

const stopSignals = ['SIGTERM', 'SIGINT'] as const;

/**
 * Runs an instance until SIGTERM or SIGINT, then drains and stops it. A signal
 * during the start takes effect once the instance has started; further signals
 * change nothing.
 *
 * @param signals emits the signals. Default: the process
 */
export async function runServe(io: CommandIo, options: ServeOptions, signals: EventEmitter = process): Promise<ExitCode> {
	const stopRequest = new AbortController();
	const handleSignal = () => {
		stopRequest.abort();
	};

	// The listeners stay to the end: without one, a signal ends the process at once.
	for (const signal of stopSignals) {
		signals.on(signal, handleSignal);
	}

	try {
		return await runInstance(io, options, stopRequest.signal);
	} finally {
		for (const signal of stopSignals) {
			signals.off(signal, handleSignal);
		}
	}
}

async function runInstance(io: CommandIo, options: ServeOptions, stopSignal: AbortSignal): Promise<ExitCode> {
	let text: string;
	try {
		text = await readFile(options.settings, 'utf8');
	} catch (error) {
		io.warn(formatFileError(error));
		return exitCodes.usage;
	}

	const settings = parseSettings(text, io.environment);
	if (!settings.ok) {
		for (const {field, message} of settings.error) {
			io.warn(`${options.settings}: ${field === '' ? '' : `${field}: `}${message}`);
		}

		return exitCodes.usage;
	}

	let instance;
	try {
		instance = await startInstance(settings.value);
	} catch (error) {
		io.warn(`the instance did not start: ${getErrorMessage(error)}`);
		return exitCodes.failed;
	}

	await waitForAbort(stopSignal);
	await instance.drain();
	await instance.stop();
	return exitCodes.ok;
}
