/**
 * A check of the envelopes that peers send several times a second, which costs a
 * fraction of their schema. It accepts only values that the schema accepts without a
 * change. Whatever else arrives, such as a field of a later program, is left to the
 * schema. A limit here must not exceed the one in the schema.
 */

type Check = (value: unknown) => boolean;
type Fields = ReadonlyArray<readonly [name: string, check: Check, presence?: 'optional']>;

const maxNameLength = 200;
const maxEntries = 4096;
const maxUrgencies = 10;
const maxHeldParts = 64;
const maxSpeedFigures = 4;
const maxPaceFigures = 2;
const maxPools = 256;

const isName: Check = value => typeof value === 'string' && value.length <= maxNameLength;
const isNumber: Check = value => typeof value === 'number' && Number.isFinite(value);
const isPositive: Check = value => isNumber(value) && Number(value) >= 0;
const isCount: Check = value => Number.isSafeInteger(value) && Number(value) >= 0;
const isBoolean: Check = value => typeof value === 'boolean';

function isPlainObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype;
}

/** Creates a check of an object that has these fields and no others. */
function createObjectCheck(fields: Fields): Check {
	return value => {
		if (!isPlainObject(value)) {
			return false;
		}

		let present = 0;
		for (const [name, check, presence] of fields) {
			const field = value[name];
			if (field === undefined && presence === 'optional') {
				continue;
			}

			if (!check(field)) {
				return false;
			}

			present++;
		}

		return Object.keys(value).length === present;
	};
}

/** Checks an array; a hole counts as an item that is `undefined`. */
function createArrayCheck(check: Check, maxLength: number): Check {
	return value => {
		if (!Array.isArray(value) || value.length > maxLength) {
			return false;
		}

		// Unlike the methods of arrays, the loop does not pass over holes.
		for (const item of value) {
			if (!check(item)) {
				return false;
			}
		}

		return true;
	};
}

/** Checks an object with any names. */
function createRecordCheck(check: Check): Check {
	return value => isPlainObject(value) && Object.entries(value).every(([name, field]) => isName(name) && check(field));
}

const isStatement = createObjectCheck([
	['perSecond', isPositive, 'optional'], ['isLeaving', isBoolean, 'optional'], ['maxRefusals', isPositive, 'optional'], ['ageMs', isPositive],
]);

const isHeldPart: Check = value => Array.isArray(value) && value.length === 2 && isNumber(value[0]) && isPositive(value[1]);

const isHeld = createObjectCheck([
	['byUrgency', createArrayCheck(isPositive, maxUrgencies)], ['parts', createArrayCheck(isHeldPart, maxHeldParts)],
]);

const messageChecks: Readonly<Record<string, Check>> = {
	sent: createObjectCheck([
		['kind', isName],
		['targets', createArrayCheck(createObjectCheck([
			['target', isName],
			['requests', isNumber],
			['tokens', isNumber],
			['startedWallMs', isNumber, 'optional'],
			['byUrgency', createArrayCheck(isNumber, maxUrgencies), 'optional'],
			['held', isHeld, 'optional'],
			['speed', createArrayCheck(isPositive, maxSpeedFigures), 'optional'],
			['pace', createArrayCheck(isPositive, maxPaceFigures), 'optional'],
			['statement', isStatement, 'optional'],
			['limit', isStatement, 'optional'],
		]), maxEntries)],
	]),
	parts: createObjectCheck([
		['kind', isName],
		['parts', createArrayCheck(createObjectCheck([['key', isName], ['incarnation', isName]]), maxEntries)],
	]),
};

const isMessage: Check = value => {
	const check = isPlainObject(value) && typeof value.kind === 'string' && Object.hasOwn(messageChecks, value.kind) ? messageChecks[value.kind] : undefined;
	return check?.(value) ?? false;
};

const envelopeChecks: Readonly<Record<string, Check>> = {
	heartbeat: createObjectCheck([
		['type', isName],
		['status', createObjectCheck([
			['generation', isCount],
			['ready', isBoolean],
			['running', isCount],
			['revisions', createRecordCheck(isCount), 'optional'],
			['epochs', createRecordCheck(isCount), 'optional'],
			['fencing', isCount, 'optional'],
			['membersDigest', isName],
			['unreachablePools', createArrayCheck(isName, maxPools), 'optional'],
		])],
	]),
	message: createObjectCheck([['type', isName], ['message', isMessage]]),
};

/** Whether a value is a usual envelope; one that is not may still be an envelope by its schema. */
export function isUsualEnvelope(value: unknown): boolean {
	const check = isPlainObject(value) && typeof value.type === 'string' && Object.hasOwn(envelopeChecks, value.type) ? envelopeChecks[value.type] : undefined;
	return check?.(value) ?? false;
}
