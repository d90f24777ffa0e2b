/** `apricotdoor serve`: runs one instance until SIGTERM or SIGINT. */
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {formatFileError} from './_fragments.ts';
import type {CommandIo} from './io.ts';
import {getErrorMessage} from '#core';
import {parseSettings, startInstance} from '#node';

/** Options of `apricotdoor serve`. */
export type ServeOptions = Readonly<{settings: string}>;

/** Runs an instance until SIGTERM or SIGINT, then drains and stops it. */
export async function runServe(io: CommandIo, options: ServeOptions): Promise<ExitCode> {
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

	await Promise.race([once(process, 'SIGTERM'), once(process, 'SIGINT')]);
	await instance.drain();
	await instance.stop();
	return exitCodes.ok;
}
