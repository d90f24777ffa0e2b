/**
 * What the instances state about the customers that have a limit. Each instance
 * states its own demand and, if it has used more than its share, its debt. The
 * statements spread from neighbour to neighbour, so that each instance holds those
 * of all instances and adds them up without an error of convergence.
 * docs/design/customer-limits.md gives the reasons.
 */
import {hash64} from '#core';

/** Identifies an instance or a customer: 32 bits of a hash. */
export type ShortId = number;

/** What one instance states about one customer. */
export type Statement = Readonly<{
	origin: ShortId;
	customer: ShortId;
	/** Incremented by the origin with each statement, modulo 2^16. */
	sequence: number;
	/** Units per second that the origin's callers ask for; 0 if they have stopped. */
	demand: number;
	/** Level of the origin's bucket if it is negative, in units; else 0. */
	level: number;
	/** Whether the others must know at once. */
	isUrgent: boolean;
}>;

/** What is known of an instance. `goneMs` is the time since when it is not live; `undefined` if it is. */
type Origin = {name: string | undefined; goneMs: number | undefined};

/** Size of an encoded statement, in bytes. */
const statementBytes = 14;

const sequenceModulus = 65_536;

/** Bit of the sign of the demand, which is never negative: whether the statement is urgent. */
const urgentBit = 0x80_00;

/** Time for which an instance that is gone is remembered after its statements are dropped, in milliseconds, so that those which still circulate are not taken as new. */
const retentionMs = 60_000;

const hexDigits = 8;
const hexRadix = 16;

/** Derives the short id of an incarnation or a customer's name. */
export function deriveShortId(text: string): ShortId {
	return Number.parseInt(hash64(text).slice(0, hexDigits), hexRadix);
}

const roundingView = new DataView(new ArrayBuffer(4));

/** Rounds a number to the precision in which it is sent: the upper half of a 32-bit floating-point number. */
export function roundToSent(value: number): number {
	roundingView.setFloat32(0, value);
	roundingView.setUint16(2, 0);
	return roundingView.getFloat32(0);
}

/** Encodes statements for a message. */
export function encodeStatements(statements: readonly Statement[]): Uint8Array {
	const bytes = new Uint8Array(statements.length * statementBytes);
	const view = new DataView(bytes.buffer);
	for (const [index, {origin, customer, sequence, demand, level, isUrgent}] of statements.entries()) {
		const offset = index * statementBytes;
		view.setUint32(offset, origin);
		view.setUint32(offset + 4, customer);
		view.setUint16(offset + 8, sequence);
		roundingView.setFloat32(0, demand);
		view.setUint16(offset + 10, roundingView.getUint16(0) + (isUrgent ? urgentBit : 0));
		roundingView.setFloat32(0, level);
		view.setUint16(offset + 12, roundingView.getUint16(0));
	}

	return bytes;
}

/** Decodes the statements of a message; passes over those with numbers out of range, and an incomplete last one. */
export function decodeStatements(bytes: Uint8Array): readonly Statement[] {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const statements: Statement[] = [];
	for (let offset = 0; offset + statementBytes <= bytes.length; offset += statementBytes) {
		const demandBits = view.getUint16(offset + 10);
		const isUrgent = demandBits >= urgentBit;
		const statement: Statement = {
			origin: view.getUint32(offset), customer: view.getUint32(offset + 4), sequence: view.getUint16(offset + 8),
			demand: decodeNumber(demandBits - (isUrgent ? urgentBit : 0)), level: decodeNumber(view.getUint16(offset + 12)), isUrgent,
		};
		if (Number.isFinite(statement.demand) && Number.isFinite(statement.level) && statement.level <= 0) {
			statements.push(statement);
		}
	}

	return statements;
}

function decodeNumber(upperHalf: number): number {
	roundingView.setUint16(0, upperHalf);
	roundingView.setUint16(2, 0);
	return roundingView.getFloat32(0);
}

/** The newest statement of each instance about each customer. */
export class DemandTable {
	readonly #self: ShortId;
	readonly #statements = new Map<ShortId, Map<ShortId, Statement>>();
	readonly #origins = new Map<ShortId, Origin>();
	/** Times of the latest urgent debts, by customer. */
	readonly #surgesMs = new Map<ShortId, number>();
	/** Instances that have been gone since before this time are not counted any more. */
	#droppedBeforeMs = Number.NEGATIVE_INFINITY;

	/** @param self short id of this instance */
	constructor(self: ShortId) {
		this.#self = self;
	}

	/** Number of statements. */
	get size(): number {
		return [...this.#statements.values()].reduce((sum, statements) => sum + statements.size, 0);
	}

	/** Number of instances that are live or count as long as they may still use their share, including this one. */
	get countedInstances(): number {
		return [...this.#origins.values()].filter(({goneMs}) => goneMs === undefined || goneMs > this.#droppedBeforeMs).length + 1;
	}

	/** Lists the statements about a customer, including this instance's own. */
	list(customer: ShortId): Iterable<Statement> {
		return this.#statements.get(customer)?.values() ?? [];
	}

	/** Lists all statements. */
	listAll(): readonly Statement[] {
		return [...this.#statements.values()].flatMap(statements => [...statements.values()]);
	}

	/** Whether an instance is believed to be live. */
	isLive(origin: ShortId): boolean {
		return origin === this.#self || this.#origins.get(origin)?.goneMs === undefined;
	}

	/** Returns the time at which an instance last stated that a customer sends far more than usual and has brought it into debt. */
	getSurgeMs(customer: ShortId): number {
		return this.#surgesMs.get(customer) ?? Number.NEGATIVE_INFINITY;
	}

	/** Records a statement. Returns whether it is new: an older one is not, nor is one of an instance that has been gone for long. */
	record(statement: Statement, nowMs: number): boolean {
		const {origin, customer, sequence} = statement;
		const statements = this.#statements.get(customer) ?? new Map<ShortId, Statement>();
		this.#statements.set(customer, statements);
		const previous = statements.get(origin);
		if (previous && !isLater(sequence, previous.sequence)) {
			return false;
		}

		if (origin !== this.#self) {
			const known = this.#origins.get(origin);
			if (!known) {
				// Its membership record may still be on the way.
				this.#origins.set(origin, {name: undefined, goneMs: nowMs});
			} else if (known.goneMs !== undefined && known.goneMs <= this.#droppedBeforeMs) {
				return false;
			}
		}

		// The first statement of an instance is urgent in any case.
		if (statement.isUrgent && statement.level < 0 && previous && previous.demand > 0) {
			this.#surgesMs.set(customer, nowMs);
		}

		// A statement without demand is kept, so that an earlier one that still circulates does not replace it.
		statements.set(origin, statement);
		return true;
	}

	/** Updates which instances are live. Those that have been gone for `holdMs` are not counted any more, nor are those whose place a new process has taken. */
	updateLive(peers: ReadonlyArray<Readonly<{id: ShortId; name: string}>>, nowMs: number, holdMs: number): void {
		const liveIds = new Set<ShortId>();
		const liveNames = new Set<string>();
		for (const {id, name} of peers) {
			liveIds.add(id);
			liveNames.add(name);
			this.#origins.set(id, {name, goneMs: undefined});
		}

		this.#droppedBeforeMs = nowMs - holdMs;
		for (const [id, origin] of this.#origins) {
			if (liveIds.has(id)) {
				continue;
			}

			origin.goneMs ??= nowMs;
			if (origin.name !== undefined && liveNames.has(origin.name)) {
				origin.goneMs = Math.min(origin.goneMs, this.#droppedBeforeMs);
			}

			if (origin.goneMs <= this.#droppedBeforeMs) {
				this.#removeStatements(id);
			}

			if (origin.goneMs <= this.#droppedBeforeMs - retentionMs) {
				this.#origins.delete(id);
			}
		}
	}

	/** Removes the statements about customers without a limit. */
	retainCustomers(customers: ReadonlySet<ShortId>): void {
		for (const customer of this.#statements.keys()) {
			if (!customers.has(customer)) {
				this.#statements.delete(customer);
			}
		}
	}

	#removeStatements(origin: ShortId): void {
		for (const statements of this.#statements.values()) {
			statements.delete(origin);
		}
	}
}

/** Whether a sequence number is later than another one, modulo 2^16. */
function isLater(sequence: number, other: number): boolean {
	const distance = (sequence - other + sequenceModulus) % sequenceModulus;
	return distance > 0 && distance < sequenceModulus / 2;
}

/** Returns the sequence number after another one. */
export function computeNextSequence(sequence: number): number {
	return (sequence + 1) % sequenceModulus;
}
