/**
 * Publishes service files. The head object names the generation and one
 * fragment per service; it changes by conditional update, so operators of
 * different services merge and those of the same service conflict.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {checkParsed} from './check.ts';
import {
	maxFragmentBytes, parseFragment, type ConfigurationFault, type Fragment, type ParsedFragment,
} from './fragment.ts';
import {readHead, type Head, type VersionedHead} from './head.ts';
import {headKey, makeFragmentKey} from './keys.ts';
import {writeSuggestion} from './explain-issues.ts';
import {fail, succeed, type Result} from '#core';
import type {ObjectStore, StoreFailure} from '#object-store';

/** The generation that was accepted. */
export type PublishReceipt = Readonly<{
	generation: number;
	/** Services that changed, with the checksum that a later change states as its base; none for a removed one. */
	services: readonly string[];
	checksums: Readonly<Record<string, string>>;
}>;

/** Why nothing was published. */
export type PublishFailure
	= | Readonly<{kind: 'invalid'; faults: readonly ConfigurationFault[]}>
	/** Another operator changed the same service since `base`. */
		| Readonly<{kind: 'conflict'; service: string; base: string; found: string}>
		| Readonly<{kind: 'platform'; failure: StoreFailure}>;

/** Options of {@link publishFragments}. */
export type PublishOptions = Readonly<{
	/** Services to remove. Default: none. */
	remove?: readonly string[];
	/**
	 * Checksum of each service's fragment that the change starts from; {@link noBase} for a new service.
	 * Default: what is in force when the publication begins.
	 */
	bases?: Readonly<Record<string, string>>;
	/** Identifies the publication. Default: a random one. */
	id?: string;
}>;

/** The base of a service that is not configured yet. */
export const noBase = 'none';

const maxCommitAttempts = 8;
const maxRecent = 16;

type Change = Readonly<{
	id: string;
	files: readonly ParsedFragment[];
	removed: readonly string[];
	/** Base checksum by service. */
	bases: Map<string, string>;
}>;

/** Committed, refused for good, or to be tried again for the failure's reason. */
type CommitResult = Result<PublishReceipt, PublishFailure> | Readonly<{ok: 'again'; failure: StoreFailure}>;

/**
 * Commits the fragments of one or more services.
 *
 * @param platform where the configuration is kept
 * @param fragments checked together with the fragments of all other services
 * @returns the accepted generation; nothing is in force on a failure, but for a
 * platform failure of kind `unknown`, which may have taken effect
 */
export async function publishFragments(platform: ObjectStore, fragments: readonly Fragment[], options: PublishOptions = {}): Promise<Result<PublishReceipt, PublishFailure>> {
	const parsed = fragments.map(fragment => parseFragment(fragment));
	const faults = parsed.flatMap(result => result.ok ? [] : result.error);
	if (faults.length > 0) {
		return fail({kind: 'invalid', faults});
	}

	const files = parsed.flatMap(result => result.ok ? [result.value] : []);
	const change = {
		id: options.id ?? randomUUID(), files, removed: options.remove ?? [], bases: new Map(Object.entries(options.bases ?? {})),
	};
	let last: StoreFailure = {kind: 'conflict', detail: ''};
	for (let attempt = 0; attempt < maxCommitAttempts; attempt++) {
		const result = await commit(platform, change);
		if (result.ok !== 'again') {
			return result;
		}

		last = result.failure;
	}

	return fail({kind: 'platform', failure: {kind: last.kind, detail: `gave up after ${maxCommitAttempts} attempts: ${last.detail}`}});
}

async function commit(platform: ObjectStore, change: Change): Promise<CommitResult> {
	const current = await readHead(platform);
	if (!current.ok) {
		return current.error.kind === 'unknown' ? {ok: 'again', failure: current.error} : failPlatform(current.error);
	}

	const {head} = current.value;
	const own = head.recent.find(({id}) => id === change.id);
	if (own) {
		return succeed(makeReceipt(change, own.generation));
	}

	const conflict = findConflict(change, head);
	if (conflict) {
		return fail(conflict);
	}

	const others = await readOthers(platform, change, head);
	if (!others.ok) {
		return failPlatform(others.error);
	}

	const faults = checkWhole(change, others.value, head);
	return faults.length > 0 ? fail({kind: 'invalid', faults}) : write(platform, change, current.value);
}

/** Compares the base of each changed service with what is in force; a base that was not stated is set now. */
function findConflict(change: Change, head: Head): PublishFailure | undefined {
	const {bases} = change;
	for (const service of listServices(change)) {
		const found = head.fragments[service] ?? noBase;
		const base = change.bases.get(service) ?? found;
		change.bases.set(service, base);
		if (base !== found) {
			return {
				kind: 'conflict', service, base, found,
			};
		}
	}

	return undefined;
}

async function readOthers(platform: ObjectStore, change: Change, head: Head): Promise<Result<readonly Fragment[], StoreFailure>> {
	const changed = new Set(listServices(change));
	const others: Fragment[] = [];
	for (const [service, checksum] of Object.entries(head.fragments)) {
		if (changed.has(service)) {
			continue;
		}

		const key = makeFragmentKey(service, checksum);
		const stored = await platform.get(key);
		if (!stored.ok) {
			return stored;
		}

		if (!stored.value) {
			return fail({kind: 'gone', detail: `the object ${key} is missing; publish service "${service}" again`});
		}

		others.push({file: `service ${service} (in force)`, text: stored.value.value});
	}

	return succeed(others);
}

function checkWhole(change: Change, others: readonly Fragment[], head: Head): readonly ConfigurationFault[] {
	const unknown = change.removed.filter(service => head.fragments[service] === undefined);
	if (unknown.length > 0) {
		return unknown.map(service => ({file: `service ${service}`, field: '', message: `is not configured; ${writeSuggestion(service, Object.keys(head.fragments))}`}));
	}

	const parsed = others.map(fragment => parseFragment(fragment));
	const faults = parsed.flatMap(result => result.ok ? [] : result.error);
	if (faults.length > 0) {
		return faults;
	}

	const whole = checkParsed([...change.files, ...parsed.flatMap(result => result.ok ? [result.value] : [])], head.generation + 1);
	return whole.ok ? checkHeadSize(change, head) : whole.error;
}

function checkHeadSize(change: Change, head: Head): readonly ConfigurationFault[] {
	const bytes = Buffer.byteLength(JSON.stringify(makeNext(change, head)));
	return bytes > maxFragmentBytes
		? [{file: 'head', field: '', message: `naming all services takes ${bytes} bytes, the platform holds ${maxFragmentBytes}; merge small services`}]
		: [];
}

function makeNext(change: Change, head: Head): Head {
	const generation = head.generation + 1;
	const kept = Object.entries(head.fragments).filter(([service]) => !change.removed.includes(service));
	const changed = change.files.map(({service, checksum}) => [service.service, checksum] as const);
	return {
		generation,
		fragments: Object.fromEntries([...kept, ...changed]),
		recent: [...head.recent, {id: change.id, generation}].slice(-maxRecent),
	};
}

async function write(platform: ObjectStore, change: Change, {head, version}: VersionedHead): Promise<CommitResult> {
	const replaced = await listReplaced(platform, change, head);
	for (const {service, checksum, text} of change.files) {
		const stored = await platform.put(makeFragmentKey(service.service, checksum), text);
		if (!stored.ok) {
			return stored.error.kind === 'unknown' ? {ok: 'again', failure: stored.error} : failPlatform(stored.error);
		}
	}

	const next = makeNext(change, head);
	const put = await platform.put(headKey, JSON.stringify(next), {ifVersion: version});
	if (!put.ok) {
		// A lost answer is settled by the next attempt, which looks for this publication in the head.
		return put.error.kind === 'unknown' || put.error.kind === 'conflict' ? {ok: 'again', failure: put.error} : failPlatform(put.error);
	}

	for (const {key, ifVersion} of replaced) {
		await platform.remove(key, {ifVersion});
	}

	return succeed(makeReceipt(change, next.generation));
}

type Replaced = Readonly<{key: string; ifVersion: number}>;

/**
 * Lists the fragments that the change makes useless, with the versions read
 * before the commit: a publication that takes one of them up again rewrites it
 * after the commit, and its removal then fails.
 */
async function listReplaced(platform: ObjectStore, change: Change, head: Head): Promise<readonly Replaced[]> {
	const replaced: Replaced[] = [];
	const kept = new Set(change.files.map(({service, checksum}) => makeFragmentKey(service.service, checksum)));
	for (const service of listServices(change)) {
		const checksum = head.fragments[service];
		const key = makeFragmentKey(service, checksum ?? noBase);
		if (checksum === undefined || kept.has(key)) {
			continue;
		}

		const stored = await platform.get(key);
		if (stored.ok && stored.value) {
			replaced.push({key, ifVersion: stored.value.version});
		}
	}

	return replaced;
}

function listServices(change: Change): readonly string[] {
	return [...change.files.map(({service}) => service.service), ...change.removed];
}

function makeReceipt(change: Change, generation: number): PublishReceipt {
	return {
		generation,
		services: listServices(change),
		checksums: Object.fromEntries(change.files.map(({service, checksum}) => [service.service, checksum])),
	};
}

function failPlatform(failure: StoreFailure): CommitResult {
	return fail({kind: 'platform', failure});
}
