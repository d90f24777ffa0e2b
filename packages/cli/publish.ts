/** `apricotdoor publish`: checks the configuration and commits it to the platform. */
import process from 'node:process';
import {printFaults} from './check.ts';
import {readFragments} from './_fragments.ts';
import {publishFragments} from '#configuration';
import {createHttpPlatform} from '#platform';

/** Options of the verb. */
export type PublishOptions = Readonly<{platform: string; token?: string}>;

/** Publishes folders of service files. */
export async function runPublish(folders: readonly string[], options: PublishOptions): Promise<void> {
	const platform = createHttpPlatform(options.platform, {token: options.token});
	const result = await publishFragments(platform, await readFragments(folders));
	if (result.ok) {
		console.log(`accepted as generation ${result.value.generation}: ${result.value.services.join(', ')}`);
		return;
	}

	process.exitCode = 1;
	if (result.error.kind === 'invalid') {
		printFaults(result.error.faults);
		return;
	}

	if (result.error.kind === 'conflict') {
		console.error(`not published: service "${result.error.service}" was changed by another operator; read its file again and publish anew`);
		return;
	}

	console.error(`not published: ${result.error.failure.kind}: ${result.error.failure.detail}`);
}
