/** The quick check of envelopes beside their schema. */
import fc from 'fast-check';
import t, {type Test} from 'tap';
import {isUsualEnvelope} from './_quick-check.ts';
import {envelopeSchema} from './envelope.ts';

const heartbeat = {
	type: 'heartbeat', status: {
		generation: 1, ready: true, running: 2, revisions: {servers: 3, config: 4}, epochs: {servers: 1}, fencing: 7, membersDigest: 'd', unreachablePools: ['p'],
	},
};
const statement = {
	perSecond: 1.5, isLeaving: true, maxRefusals: 4, ageMs: 4,
};
const sent = {
	type: 'message', message: {
		kind: 'sent', targets: [{
			target: 't', requests: 1, tokens: 2, startedWallMs: 1_700_000_000_000, byUrgency: [1, 2], statement, limit: {ageMs: 4},
			held: {byUrgency: [16, 32], parts: [[4_000_000_000, 512]]}, speed: [250, 10, 20, 30], pace: [2, 100],
		}, {target: 'u', requests: 1, tokens: 0}],
	},
};
const parts = {type: 'message', message: {kind: 'parts', parts: [{key: 'k', incarnation: 'i'}, {key: 'l', incarnation: 'i'}]}};
const usual = [heartbeat, sent, parts, {
	type: 'heartbeat', status: {
		generation: 0, ready: false, running: 0, membersDigest: '',
	},
}];

const long = 'x'.repeat(201);
/** Values that are put in place of others: of other types, out of range, too long, or at the limit. */
const odd: readonly unknown[] = [
	undefined,
	null,
	true,
	-1,
	1.5,
	Number.NaN,
	Infinity,
	2 ** 53,
	'',
	long,
	long.slice(1),
	[],
	{},
	['a'],
	[long],
	{a: 1},
	{a: -1},
	{[long]: 1},
	[1, Infinity],
	Array.from({length: 11}, () => 1),
	Array.from({length: 257}, () => 'p'),
	Array.from({length: 4097}, () => ({key: 'k', incarnation: 'i'})),
	Object.create({generation: 1}),
	new Date(0),
	new Map(),
	1n,
];

/** Lists the paths of all fields and items in a value. */
function listPaths(value: unknown, path: ReadonlyArray<string | number> = []): ReadonlyArray<ReadonlyArray<string | number>> {
	return typeof value === 'object' && value !== null
		? [path, ...Object.entries(value).flatMap(([name, field]) => listPaths(field, [...path, name]))]
		: [path];
}

/** Returns a copy of a value with another one at a path; `removed` leaves the field out, and `added` adds a field with that value. */
function change(value: unknown, [name, ...rest]: ReadonlyArray<string | number>, replacement: unknown): unknown {
	if (name === undefined) {
		return replacement;
	}

	const copy: Record<string, unknown> | unknown[] = Array.isArray(value) ? [...value as unknown[]] : {...value as Record<string, unknown>}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a path leads through objects only
	Object.assign(copy, {[name]: change((value as Record<string, unknown>)[name], rest, replacement)}); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- as above
	return copy;
}

function remove(value: unknown, path: ReadonlyArray<string | number>): unknown {
	const copy = structuredClone(value);
	let holder = copy as Record<string, unknown>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a path leads through objects only
	for (const name of path.slice(0, -1)) {
		holder = holder[name] as Record<string, unknown>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- as above
	}

	Reflect.deleteProperty(holder, path.at(-1)!);
	return copy;
}

function checkAgainstSchema(t: Test, value: unknown): void {
	if (!isUsualEnvelope(value)) {
		return;
	}

	const parsed = envelopeSchema.safeParse(value);
	t.ok(parsed.success, JSON.stringify(value).slice(0, 300));
	t.strictSame(parsed.data, value);
}

t.test('usual envelopes are checked quickly', async t => {
	for (const envelope of usual) {
		t.ok(isUsualEnvelope(envelope), JSON.stringify(envelope));
		checkAgainstSchema(t, envelope);
	}
});

// Guards against a quick check that lets a peer send what the schema refuses, or changes.
t.test('nothing passes that the schema refuses or changes', async t => {
	for (const envelope of usual) {
		for (const path of listPaths(envelope)) {
			for (const value of odd) {
				checkAgainstSchema(t, change(envelope, path, value));
				checkAgainstSchema(t, change(envelope, [...path, 'other'], value));
			}

			if (path.length > 0) {
				checkAgainstSchema(t, remove(envelope, path));
			}
		}
	}

	fc.assert(fc.property(fc.anything({withNullPrototype: true, withDate: true, withMap: true}), value => !isUsualEnvelope(value)), {seed: 17});
});

t.test('an unknown field is left to the schema, which drops it', async t => {
	for (const envelope of [{...heartbeat, later: 1}, {...heartbeat, status: {...heartbeat.status, later: 1}}, {...sent, message: {...sent.message, later: 1}}]) {
		t.notOk(isUsualEnvelope(envelope));
		t.ok(envelopeSchema.safeParse(envelope).success);
	}
});
