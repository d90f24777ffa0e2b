/** `apricotdoor digest`: prints the digest that configuration and settings files contain in place of a key or token. */
import {exitCodes, type ExitCode} from './exit-codes.ts';
import type {CommandIo} from './io.ts';
import {digestKey} from '#admission';

/** Reads a key from standard input, which keeps it out of the shell history, and prints its digest. */
export async function runDigest(io: CommandIo): Promise<ExitCode> {
	const input = await io.readInput();
	const key = input.trim();
	if (!/^\S{16,512}$/v.test(key)) {
		io.warn('standard input must contain the key: one line of 16 to 512 characters without spaces');
		return exitCodes.usage;
	}

	io.write(digestKey(key));
	return exitCodes.ok;
}
