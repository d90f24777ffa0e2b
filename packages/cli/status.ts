/** `apricotdoor status`: the generation in force on every live instance. */
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {readFleet, type FleetView} from './_generations.ts';
import type {CommandIo} from './io.ts';

/** Options of the verb. */
export type StatusOptions = Readonly<{admin: readonly string[]; json?: boolean}>;

/** Asks the given instances and prints what they know. */
export async function runStatus(io: CommandIo, options: StatusOptions): Promise<ExitCode> {
	const view = await readFleet(options.admin, io.environment.APRICOTDOOR_ADMIN_TOKEN ?? '');
	if (options.json) {
		io.write(JSON.stringify({instances: view.lines, errors: view.errors}));
	} else {
		printFleet(io, view);
	}

	for (const error of view.errors) {
		io.warn(error);
	}

	return view.errors.length > 0 ? exitCodes.unreachable : exitCodes.ok;
}

/** Prints one line for each instance. */
export function printFleet(io: CommandIo, {lines}: FleetView): void {
	for (const {name, zone, generation, ready, running, leaving} of lines) {
		io.write(`${name}\t${zone}\tgeneration ${generation ?? 'unknown'}\t${leaving ? 'leaving' : (ready ? 'ready' : 'not ready')}\t${running} running`);
	}
}
