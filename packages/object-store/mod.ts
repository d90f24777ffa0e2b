/**
 * The interface to the platform's object API and its lagging list of
 * instances, with one adapter over HTTP.
 */
export type {
	InstanceEntry, ObjectList, ObjectStore, StoreFailure, PutOptions, StoredObject, WatchBatch,
} from './object-store.ts';
export {createHttpObjectStore, type HttpObjectStoreOptions} from './http-object-store.ts';
export {commitChange, type Change, type ChangeOutcome} from './commit-change.ts';
export {
	createObjectStoreClient, type StoreCallKind, type ObjectStoreClient, type ObjectStoreClientDeps, type ObjectStoreClientOptions, type StoreRates,
} from './client.ts';
export {InstanceCount} from './instance-count.ts';
