/** What the platform offers: objects with versions, conditional updates, watches, and a list of instances. */
import type {Result} from '#core';

/** Why a call did not succeed. Only `unknown` may have taken effect. */
export type StoreFailure = Readonly<{
	kind: 'conflict' | 'unavailable' | 'unknown' | 'rate_limited' | 'too_large' | 'gone';
	detail: string;
	/** When the next call has a chance, in milliseconds; stated where calls are not sent for the time being. */
	retryAfterMs?: number;
}>;

/** An object as it is stored. */
export type StoredObject = Readonly<{
	key: string;
	/** JSON text. */
	value: string;
	/** Rises with each change of this object; starts at 1. */
	version: number;
	/** Revision of the whole store at which it last changed. */
	revision: number;
}>;

/** Changes after a revision. */
export type WatchBatch = Readonly<{
	changed: readonly StoredObject[];
	deleted: readonly string[];
	/** Revision to watch from next. */
	revision: number;
}>;

/** Objects below a prefix, as they were at a revision of the whole store. */
export type ObjectList = Readonly<{
	objects: readonly StoredObject[];
	revision: number;
}>;

/** A live or leaving instance on the platform's list, which lags. */
export type InstanceEntry = Readonly<{
	name: string;
	kind: 'router' | 'target';
	/** Pool of a target; empty for routers. */
	pool: string;
	/** `host:port` for the inner protocol of routers, or for requests to targets. */
	address: string;
	zone: string;
	leaving: boolean;
}>;

/** Options of {@link ObjectStore.put}. */
export type PutOptions = Readonly<{
	/** The update holds only if the object has this version; 0 means that it must not exist. Default: unconditional. */
	ifVersion?: number;
}>;

/** The object API. */
export type ObjectStore = Readonly<{
	get(key: string): Promise<Result<StoredObject | undefined, StoreFailure>>;
	put(key: string, value: string, options?: PutOptions): Promise<Result<StoredObject, StoreFailure>>;
	remove(key: string, options?: PutOptions): Promise<Result<void, StoreFailure>>;
	list(prefix: string): Promise<Result<ObjectList, StoreFailure>>;
	/** Waits for changes below `prefix` after `revision`; an empty batch means that the wait ran out. */
	watch(prefix: string, revision: number, signal: AbortSignal): Promise<Result<WatchBatch, StoreFailure>>;
	listInstances(): Promise<Result<readonly InstanceEntry[], StoreFailure>>;
}>;
