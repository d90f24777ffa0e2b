/** `apricotdoor publish`: checks the configuration and commits it to the platform, directly or through an instance. */
import {printFaults} from './check.ts';
import {sendAdminRequest, parseAdminError} from './_admin-client.ts';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {readFragments} from './_fragments.ts';
import {isGenerationInForce, requestFleetStatus, waitForGeneration} from './_fleet-status.ts';
import type {CommandIo} from './io.ts';
import {printFleet} from './status.ts';
import {createSystemClock} from '#clock';
import {
	publishFragments, type Fragment, type PublishFailure, type PublishReceipt,
} from '#configuration';
import {fail, succeed, type Result} from '#core';
import {createHttpObjectStore} from '#object-store';

/** Options of `apricotdoor publish`. */
export type PublishOptions = Readonly<{
	platform?: string;
	admin?: readonly string[];
	remove?: readonly string[];
	base?: readonly string[];
	wait?: boolean;
	waitSeconds: number;
	json?: boolean;
}>;

/** Services to publish and remove. `bases` has the checksum of each service's fragment on which the change is based. */
type Change = Readonly<{fragments: readonly Fragment[]; remove: readonly string[]; bases: Readonly<Record<string, string>>}>;

/** Exit code other than 0, returned after the reason was printed. */
type FailureExitCode = ExitCode;

/** Publishes the service files at the given paths and removes the given services. */
export async function runPublish(io: CommandIo, paths: readonly string[], options: PublishOptions): Promise<ExitCode> {
	const change = await readChange(io, paths, options);
	if (!change.ok) {
		return change.error;
	}

	const receipt = await commitChange(io, change.value, options);
	if (!receipt.ok) {
		return receipt.error;
	}

	if (options.json) {
		io.write(JSON.stringify(receipt.value));
	} else {
		io.write(`accepted as generation ${receipt.value.generation}: ${receipt.value.services.join(', ')}`);
	}

	return options.wait ? waitUntilInForce(io, receipt.value.generation, options) : exitCodes.ok;
}

async function readChange(io: CommandIo, paths: readonly string[], options: PublishOptions): Promise<Result<Change, FailureExitCode>> {
	const remove = options.remove ?? [];
	if (paths.length === 0 && remove.length === 0) {
		io.warn('nothing to publish; give a folder of service files, or a service to remove with --remove');
		return fail(exitCodes.usage);
	}

	if (options.platform === undefined && options.admin === undefined) {
		io.warn('no destination; give the platform with --platform or an instance with --admin');
		return fail(exitCodes.usage);
	}

	if (options.wait && options.admin === undefined) {
		io.warn('--wait polls instances; give the address of at least one with --admin');
		return fail(exitCodes.usage);
	}

	const fragments = await readFragments(paths);
	if (!fragments.ok) {
		io.warn(fragments.error);
		return fail(exitCodes.usage);
	}

	const bases = (options.base ?? []).map(base => base.split('='));
	if (bases.some(base => base.length !== 2)) {
		io.warn('--base needs SERVICE=CHECKSUM, such as language=none for a service that is new');
		return fail(exitCodes.usage);
	}

	return succeed({fragments: fragments.value, remove, bases: Object.fromEntries(bases.map(([service = '', checksum = '']) => [service, checksum]))});
}

async function commitChange(io: CommandIo, change: Change, options: PublishOptions): Promise<Result<PublishReceipt, FailureExitCode>> {
	if (options.platform === undefined) {
		// `readChange` refuses options that contain neither --platform nor --admin.
		return commitThroughInstance(io, change, options.admin![0]!);
	}

	const platform = createHttpObjectStore(options.platform, {token: io.environment.APRICOTDOOR_PLATFORM_TOKEN});
	const {fragments, ...rest} = change;
	const result = await publishFragments(platform, fragments, rest);
	return result.ok ? result : fail(printFailure(io, result.error));
}

function printFailure(io: CommandIo, failure: PublishFailure): FailureExitCode {
	switch (failure.kind) {
		case 'invalid': {
			printFaults(io, failure.faults);
			return exitCodes.failed;
		}

		case 'conflict': {
			const {service, base, found} = failure;
			io.warn(`not published: another operator changed service "${service}": the change is based on ${base}, in force is ${found}; merge the two, then publish with --base ${service}=${found}`);
			return exitCodes.conflict;
		}

		case 'platform': {
			const {kind, detail} = failure.failure;
			const outcome = kind === 'unknown' ? 'the outcome is unknown; read the status before publishing again' : 'not published';
			io.warn(`${outcome}: platform: ${kind}: ${detail}`);
			return exitCodes.unreachable;
		}
	}
}

const exitCodesByRefusal: Readonly<Record<string, ExitCode>> = {
	admin_configuration_conflict: exitCodes.conflict,
	admin_platform_unavailable: exitCodes.unreachable,
	admin_outcome_unknown: exitCodes.unreachable,
};

async function commitThroughInstance(io: CommandIo, change: Change, address: string): Promise<Result<PublishReceipt, FailureExitCode>> {
	const response = await sendAdminRequest({
		address, token: io.environment.APRICOTDOOR_ADMIN_TOKEN ?? '', method: 'POST', path: '/configuration', body: change,
	});
	if (!response.ok) {
		io.warn(`${response.error}; read the status before publishing again`);
		return fail(exitCodes.unreachable);
	}

	if (response.value.status === 200) {
		return succeed(response.value.body as PublishReceipt); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the instance runs the same version of this type
	}

	const {code, message, faults} = parseAdminError(response.value);
	io.warn(`not published: ${message}`);
	printFaults(io, faults);
	return fail(exitCodesByRefusal[code] ?? exitCodes.failed);
}

async function waitUntilInForce(io: CommandIo, generation: number, options: PublishOptions): Promise<ExitCode> {
	const token = io.environment.APRICOTDOOR_ADMIN_TOKEN ?? '';
	const fleet = await waitForGeneration(createSystemClock(), generation, options.waitSeconds * 1000, async () => requestFleetStatus(options.admin!, token));
	if (isGenerationInForce(fleet, generation)) {
		if (!options.json) {
			io.write(`generation ${generation} is in force on ${fleet.instances.length} instances`);
		}

		return exitCodes.ok;
	}

	io.warn(`generation ${generation} is accepted, but not yet in force everywhere after ${options.waitSeconds} s:`);
	// Prints to standard error, because standard output is for results.
	printFleet({...io, write: io.warn}, fleet);
	for (const error of fleet.errors) {
		io.warn(error);
	}

	return exitCodes.unreachable;
}
