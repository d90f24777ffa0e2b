/**
 * Keeps quarantines in the object store, so that they outlive all instances. Each
 * fingerprint that is quarantined, or will be with its next strike, is one object,
 * written by the instances that rank first for it, and removed when it is cleared
 * by those that have written or read it. An instance reads the objects once, when
 * it starts; after that it learns of changes from its peers.
 */
import type {Quarantine} from './quarantine.ts';
import {waitForTick, type Clock} from '#clock';
import type {ObjectStore, StoredObject} from '#object-store';
import {peerMessageSchema, type PeerMessageOf} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

export type QuarantineArchiveDependencies = Readonly<{
	clock: Clock;
	telemetry: Telemetry;
	store: ObjectStore;
	/** Kind of the objects, the first part of their keys. */
	kind: string;
	quarantine: Quarantine;
	/** Returns the rank of this instance among those that can perform a duty; 0 is the first. */
	getRank: (duty: string) => number;
}>;

/** Number of instances that write each quarantine: the first one may end before it has done so. */
const writerCount = 2;

/** Interval at which changed quarantines are written, in milliseconds; one that is cleared before that causes no call. */
const writeIntervalMs = 500;

/** Delay before the objects are read again after a failure, in milliseconds. */
const readRetryDelayMs = 1000;

/** Maximum number of quarantines that wait to be written. */
const maxPending = 256;

/** Reads the archive, then keeps it up to date until `signal` aborts. */
export async function runQuarantineArchive(dependencies: QuarantineArchiveDependencies, signal: AbortSignal): Promise<void> {
	const {clock, quarantine, store} = dependencies;
	const pending = new Set<string>();
	/** Fingerprints whose objects this instance has written or read, and which may therefore exist. */
	const archived = new Set<string>();
	const unsubscribe = quarantine.events.on('changed', fingerprint => {
		if (pending.size < maxPending) {
			pending.add(fingerprint);
		}
	});
	let epoch = store.getEpoch?.();
	let isRead = false;
	let nextReadMs = clock.now();
	try {
		while (!signal.aborted) {
			if (!isRead && clock.now() >= nextReadMs) {
				isRead = await readArchive(dependencies, archived);
				nextReadMs = clock.now() + readRetryDelayMs;
			}

			// The copy from which the store has come back may lack what was archived.
			if (store.getEpoch?.() !== epoch) {
				epoch = store.getEpoch?.();
				for (const fingerprint of archived) {
					pending.add(fingerprint);
				}
			}

			for (const fingerprint of pending) {
				if (await writeQuarantine(dependencies, fingerprint, archived)) {
					pending.delete(fingerprint);
				}
			}

			await waitForTick(clock, writeIntervalMs, signal);
		}
	} finally {
		unsubscribe();
	}
}

/** Imports the archived quarantines, and removes those that have expired or cannot be read. Returns whether the store answered. */
async function readArchive({store, kind, quarantine, clock, telemetry}: QuarantineArchiveDependencies, archived: Set<string>): Promise<boolean> {
	const listed = await store.list(`${kind}/`);
	if (!listed.ok) {
		return false;
	}

	const strikes = [];
	for (const stored of listed.value.objects) {
		const strike = decodeStrike(stored);
		if (strike && strike.untilWallMs > clock.getWallTimeMs()) {
			strikes.push(strike);
			archived.add(stored.key.slice(kind.length + 1));
		} else {
			telemetry.log('archived quarantine removed: it has expired or cannot be decoded', {key: stored.key});
			await store.remove(stored.key, {ifVersion: stored.version});
		}
	}

	quarantine.importStrikes(strikes);
	if (strikes.length > 0) {
		telemetry.log('archived quarantines imported', {count: strikes.length});
	}

	return true;
}

/** Writes or removes one quarantine. Returns whether nothing is left to do. */
async function writeQuarantine({store, kind, quarantine, getRank, telemetry}: QuarantineArchiveDependencies, fingerprint: string, archived: Set<string>): Promise<boolean> {
	const key = `${kind}/${fingerprint}`;
	const strike = quarantine.exportStrike(fingerprint);
	if (strike ? getRank(`archive ${fingerprint}`) >= writerCount : !archived.has(fingerprint)) {
		return true;
	}

	// A write whose answer is lost may have taken effect.
	archived.add(fingerprint);
	const written = await (strike ? store.put(key, JSON.stringify(strike)) : store.remove(key));
	if (written.ok && !strike) {
		archived.delete(fingerprint);
	}

	if (!written.ok) {
		telemetry.log('quarantine could not be archived; will be tried again', {fingerprint, detail: written.error.detail});
	}

	return written.ok;
}

function decodeStrike({value}: StoredObject): PeerMessageOf<'strike'> | undefined {
	try {
		const parsed = peerMessageSchema.safeParse(JSON.parse(value));
		return parsed.success && parsed.data.kind === 'strike' ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
