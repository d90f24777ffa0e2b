/** `apricotdoor digest`: the digest under which a key or token stands in files. */
import {exitCodes, type ExitCode} from './exit-codes.ts';
import type {CommandIo} from './io.ts';
import {digestKey} from '#admission';

/** Reads a key from the input, so that it stands in no shell history, and prints its digest. */
export async function runDigest(io: CommandIo): Promise<ExitCode> {
	const input = await io.readInput();
	const key = input.trim();
	if (!/^\S{16,512}$/v.test(key)) {
		io.warn('the key must be one line of 16 to 512 characters without spaces on standard input');
		return exitCodes.usage;
	}

	io.write(digestKey(key));
	return exitCodes.ok;
}
