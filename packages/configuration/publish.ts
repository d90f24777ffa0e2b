/**
 * Publishes service files. The head object names the generation and one
 * fragment per service. Because it is changed by conditional update, concurrent
 * changes of different services are merged, and those of the same service
 * conflict.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {checkParsedFragments} from './check.ts';
import {
	maxFragmentBytes, parseFragment, type ConfigurationFault, type Fragment, type ParsedFragment,
} from './fragment.ts';
import {readHead, type Head, type VersionedHead} from './head.ts';
import {headKey, createFragmentKey} from './keys.ts';
import {formatSuggestion} from './explain-issues.ts';
import {fail, succeed, type Result} from '#core';
import type {ObjectStore, StoreFailure} from '#object-store';

/** Result of an accepted publication. */
export type PublishReceipt = Readonly<{
	generation: number;
	/** Services that were changed or removed. */
	services: readonly string[];
	/** Checksum of each changed service, which a later change states as its base; removed services have none. */
	checksums: Readonly<Record<string, string>>;
}>;

/** Why nothing was published. */
export type PublishFailure
	= | Readonly<{kind: 'invalid'; faults: readonly ConfigurationFault[]}>
	/** Another operator has changed the same service since `base`. */
		| Readonly<{kind: 'conflict'; service: string; base: string; found: string}>
		| Readonly<{kind: 'platform'; failure: StoreFailure}>;

/** Options of {@link publishFragments}. */
export type PublishOptions = Readonly<{
	/** Services to remove. Default: none. */
	remove?: readonly string[];
	/**
	 * Checksum of the fragment on which the change of each service is based; {@link noBase} for a new service.
	 * Default: the fragment that the head names when the publication starts.
	 */
	bases?: Readonly<Record<string, string>>;
	/** Identifier of the publication. Default: a random one. */
	id?: string;
}>;

/** The base of a service that is not configured yet. */
export const noBase = 'none';

const maxCommitAttempts = 8;
const maxRecentPublications = 16;

type Change = Readonly<{
	id: string;
	files: readonly ParsedFragment[];
	removed: readonly string[];
	/** Base checksum by service. */
	bases: Map<string, string>;
}>;

/** Result of an attempt: committed, refused, or to be retried because of `failure`. */
type CommitResult = Result<PublishReceipt, PublishFailure> | Readonly<{ok: 'retry'; failure: StoreFailure}>;

/**
 * Commits the fragments of one or more services.
 *
 * @param platform object store that holds the configuration
 * @param fragments new files of the services; they are checked together with the current fragments of all other services
 * @returns the accepted generation; a failed publication has no effect, except
 * that one with a platform failure of kind `unknown` may have taken effect
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
	let lastFailure: StoreFailure = {kind: 'conflict', detail: ''};
	for (let attempt = 0; attempt < maxCommitAttempts; attempt++) {
		const result = await attemptCommit(platform, change);
		if (result.ok !== 'retry') {
			return result;
		}

		lastFailure = result.failure;
	}

	return fail({kind: 'platform', failure: {kind: lastFailure.kind, detail: `not committed in ${maxCommitAttempts} attempts; last failure: ${lastFailure.detail}`}});
}

async function attemptCommit(platform: ObjectStore, change: Change): Promise<CommitResult> {
	const current = await readHead(platform);
	if (!current.ok) {
		return current.error.kind === 'unknown' ? {ok: 'retry', failure: current.error} : createPlatformFailure(current.error);
	}

	const {head} = current.value;
	const ownPublication = head.recent.find(({id}) => id === change.id);
	if (ownPublication) {
		return succeed(createReceipt(change, ownPublication.generation));
	}

	const conflict = findConflict(change, head);
	if (conflict) {
		return fail(conflict);
	}

	const others = await readOtherFragments(platform, change, head);
	if (!others.ok) {
		return createPlatformFailure(others.error);
	}

	const faults = checkMerged(change, others.value, head);
	return faults.length > 0 ? fail({kind: 'invalid', faults}) : writeChange(platform, change, current.value);
}

/** Compares the base of each changed service with the head. A base that was not stated is set to the head's checksum. */
function findConflict(change: Change, head: Head): PublishFailure | undefined {
	const {bases} = change;
	for (const service of listChangedServices(change)) {
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

async function readOtherFragments(platform: ObjectStore, change: Change, head: Head): Promise<Result<readonly Fragment[], StoreFailure>> {
	const changed = new Set(listChangedServices(change));
	const others: Fragment[] = [];
	for (const [service, checksum] of Object.entries(head.fragments)) {
		if (changed.has(service)) {
			continue;
		}

		const key = createFragmentKey(service, checksum);
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

function checkMerged(change: Change, others: readonly Fragment[], head: Head): readonly ConfigurationFault[] {
	const unknown = change.removed.filter(service => head.fragments[service] === undefined);
	if (unknown.length > 0) {
		return unknown.map(service => ({file: `service ${service}`, field: '', message: `is not configured; ${formatSuggestion(service, Object.keys(head.fragments))}`}));
	}

	const parsed = others.map(fragment => parseFragment(fragment));
	const faults = parsed.flatMap(result => result.ok ? [] : result.error);
	if (faults.length > 0) {
		return faults;
	}

	const checked = checkParsedFragments([...change.files, ...parsed.flatMap(result => result.ok ? [result.value] : [])], head.generation + 1);
	return checked.ok ? checkHeadSize(change, head) : checked.error;
}

function checkHeadSize(change: Change, head: Head): readonly ConfigurationFault[] {
	const bytes = Buffer.byteLength(JSON.stringify(createNextHead(change, head)));
	return bytes > maxFragmentBytes
		? [{file: 'head', field: '', message: `the head that lists all services has ${bytes} bytes, the maximum is ${maxFragmentBytes}; merge small services`}]
		: [];
}

function createNextHead(change: Change, head: Head): Head {
	const generation = head.generation + 1;
	const unchanged = Object.entries(head.fragments).filter(([service]) => !change.removed.includes(service));
	const changed = change.files.map(({service, checksum}) => [service.service, checksum] as const);
	return {
		generation,
		fragments: Object.fromEntries([...unchanged, ...changed]),
		recent: [...head.recent, {id: change.id, generation}].slice(-maxRecentPublications),
	};
}

async function writeChange(platform: ObjectStore, change: Change, {head, version}: VersionedHead): Promise<CommitResult> {
	const replaced = await listReplacedFragments(platform, change, head);
	for (const {service, checksum, text} of change.files) {
		const stored = await platform.put(createFragmentKey(service.service, checksum), text);
		if (!stored.ok) {
			return stored.error.kind === 'unknown' ? {ok: 'retry', failure: stored.error} : createPlatformFailure(stored.error);
		}
	}

	const next = createNextHead(change, head);
	const put = await platform.put(headKey, JSON.stringify(next), {ifVersion: version});
	if (!put.ok) {
		// After a lost answer, the next attempt looks for this publication in the head.
		return put.error.kind === 'unknown' || put.error.kind === 'conflict' ? {ok: 'retry', failure: put.error} : createPlatformFailure(put.error);
	}

	for (const {key, ifVersion} of replaced) {
		await platform.remove(key, {ifVersion});
	}

	return succeed(createReceipt(change, next.generation));
}

type FragmentVersion = Readonly<{key: string; ifVersion: number}>;

/**
 * Lists the fragments that the change replaces, with the versions of their
 * objects before the commit. They are removed after the commit, but only in these
 * versions: a concurrent publication that uses such a fragment again writes the
 * object again, which changes its version, so that the removal fails.
 */
async function listReplacedFragments(platform: ObjectStore, change: Change, head: Head): Promise<readonly FragmentVersion[]> {
	const replaced: FragmentVersion[] = [];
	const writtenKeys = new Set(change.files.map(({service, checksum}) => createFragmentKey(service.service, checksum)));
	for (const service of listChangedServices(change)) {
		const checksum = head.fragments[service];
		const key = createFragmentKey(service, checksum ?? noBase);
		if (checksum === undefined || writtenKeys.has(key)) {
			continue;
		}

		const stored = await platform.get(key);
		if (stored.ok && stored.value) {
			replaced.push({key, ifVersion: stored.value.version});
		}
	}

	return replaced;
}

function listChangedServices(change: Change): readonly string[] {
	return [...change.files.map(({service}) => service.service), ...change.removed];
}

function createReceipt(change: Change, generation: number): PublishReceipt {
	return {
		generation,
		services: listChangedServices(change),
		checksums: Object.fromEntries(change.files.map(({service, checksum}) => [service.service, checksum])),
	};
}

function createPlatformFailure(failure: StoreFailure): CommitResult {
	return fail({kind: 'platform', failure});
}
