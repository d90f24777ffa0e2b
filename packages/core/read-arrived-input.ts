/**
 * Lets the event loop read what has arrived on the sockets. A caller may have
 * left before its request is read, if this process was slow or suspended; the end
 * of its connection then lies behind the request, and is read one turn later.
 */
import {setImmediate as waitForTurn} from 'node:timers/promises';

/** Turns until a connection's end is known: the rest of the current one, and one that polls the sockets. */
const turns = 2;

/** Resolves once the event loop has read the input that had arrived before. */
export async function readArrivedInput(): Promise<void> {
	for (let turn = 0; turn < turns; turn++) {
		await waitForTurn();
	}
}
