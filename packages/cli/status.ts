/** `apricotdoor status`: shows the state and the generation in force of every live instance. */
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {requestFleetStatus, type FleetStatus} from './_fleet-status.ts';
import type {CommandIo} from './io.ts';

/** Options of `apricotdoor status`. */
export type StatusOptions = Readonly<{admin: readonly string[]; json?: boolean}>;

/** Requests the status of the given instances and prints the live instances that they report. */
export async function runStatus(io: CommandIo, options: StatusOptions): Promise<ExitCode> {
	const fleet = await requestFleetStatus(options.admin, io.environment.APRICOTDOOR_ADMIN_TOKEN ?? '');
	if (options.json) {
		io.write(JSON.stringify({instances: fleet.instances, errors: fleet.errors}));
	} else {
		printFleet(io, fleet);
	}

	for (const error of fleet.errors) {
		io.warn(error);
	}

	return fleet.errors.length > 0 ? exitCodes.unreachable : exitCodes.ok;
}

/** Prints one line for each instance. */
export function printFleet(io: CommandIo, {instances}: FleetStatus): void {
	for (const {name, zone, generation, ready, running, leaving} of instances) {
		io.write(`${name}\t${zone}\tgeneration ${generation ?? 'unknown'}\t${leaving ? 'leaving' : (ready ? 'ready' : 'not ready')}\t${running} running`);
	}
}
