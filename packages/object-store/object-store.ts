/** The interface of the platform's object store: versioned objects, conditional updates, watches, and a list of instances. */
import type {Result} from '#core';

/**
 * Why a call failed. Only a call that failed with `unknown` or `epoch_changed` may
 * have taken effect. `epoch_changed` means that the store came back from an older
 * copy after the version of a conditional change was read. `interrupted` means that the connection of a watch ended before its answer; this
 * does not say whether the store is available.
 */
export type StoreFailure = Readonly<{
	kind: 'conflict' | 'epoch_changed' | 'unavailable' | 'unknown' | 'interrupted' | 'rate_limited' | 'too_large' | 'gone';
	detail: string;
	/** Delay before the next call may succeed, in milliseconds; present only if this call was not sent. */
	retryAfterMs?: number;
}>;

/** An object in the store. */
export type StoredObject = Readonly<{
	key: string;
	/** JSON text. */
	value: string;
	/** Why the value could not be read; it is `null` then. */
	fault?: string;
	/** Increases with each change of this object, and differs between epochs of the store; 0 stands for an object that does not exist. Only the client that read the object can use it in a condition. */
	version: number;
	/** Revision of the whole store at which this object last changed. */
	revision: number;
}>;

/** Options of a watch. */
export type WatchOptions = Readonly<{
	/** Time for which the store may hold the watch open without a change, in milliseconds; a connection that has gone silent is detected only after that. Default: chosen by the store's adapter. */
	waitMs?: number | undefined;
}>;

/** Changes that a watch found after a revision. */
export type WatchBatch = Readonly<{
	changed: readonly StoredObject[];
	deleted: readonly string[];
	/** Revision from which the next watch must start. */
	revision: number;
	/** See {@link ObjectList.epoch}. */
	epoch?: number | undefined;
}>;

/** Objects whose keys start with a prefix, as of a revision of the whole store. */
export type ObjectList = Readonly<{
	objects: readonly StoredObject[];
	revision: number;
	/** Epoch of the store: a number that rises when the store comes back from an older copy. Revisions are comparable within one epoch only. Absent if the source names none. */
	epoch?: number | undefined;
}>;

/** A live or draining instance on the platform's list, which may be out of date. */
export type InstanceEntry = Readonly<{
	name: string;
	kind: 'router' | 'target';
	/** Target pool; empty for routers. */
	pool: string;
	/** `host:port` of a router's peer protocol, or of a target's requests. */
	address: string;
	zone: string;
	/** Whether the instance drains. */
	leaving: boolean;
}>;

/** Options of {@link ObjectStore.put} and {@link ObjectStore.remove}. */
export type PutOptions = Readonly<{
	/** The change applies only if the object has this version; 0 means that it must not exist. Default: unconditional. */
	ifVersion?: number;
}>;

/** The platform's object store. */
export type ObjectStore = Readonly<{
	/** Returns the latest epoch that an answer has named; absent or `undefined` if none has. */
	getEpoch?: () => number | undefined;
	get(key: string): Promise<Result<StoredObject | undefined, StoreFailure>>;
	put(key: string, value: string, options?: PutOptions): Promise<Result<StoredObject, StoreFailure>>;
	remove(key: string, options?: PutOptions): Promise<Result<void, StoreFailure>>;
	list(prefix: string): Promise<Result<ObjectList, StoreFailure>>;
	/** Waits for changes of objects below `prefix` after `revision`; returns an empty batch if none came in time. */
	watch(prefix: string, revision: number, signal: AbortSignal, options?: WatchOptions): Promise<Result<WatchBatch, StoreFailure>>;
	listInstances(): Promise<Result<readonly InstanceEntry[], StoreFailure>>;
}>;
