/** `apricotdoor serve`: runs one instance until it is told to stop. */
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {parseSettings, startInstance} from '#node';

/** Options of the verb. */
export type ServeOptions = Readonly<{settings: string}>;

/** Serves until SIGTERM or SIGINT. */
export async function runServe(options: ServeOptions): Promise<void> {
	const settings = parseSettings(await readFile(options.settings, 'utf8'));
	if (!settings.ok) {
		for (const {field, message} of settings.error) {
			console.error(`${options.settings}: ${field === '' ? '' : `${field}: `}${message}`);
		}

		process.exitCode = 2;
		return;
	}

	const instance = await startInstance(settings.value);
	await Promise.race([once(process, 'SIGTERM'), once(process, 'SIGINT')]);
	await instance.drain();
	await instance.stop();
	process.exit(); // eslint-disable-line unicorn/no-process-exit
}
