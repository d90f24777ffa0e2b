/**
 * The interface to the platform's object store and to its list of instances,
 * which may be out of date, with an adapter over HTTP and a client that limits
 * rates.
 */
export type {
	InstanceEntry, ObjectList, ObjectStore, StoreFailure, PutOptions, StoredObject, WatchBatch, WatchOptions,
} from './object-store.ts';
export {createHttpObjectStore, type HttpObjectStoreOptions} from './http-object-store.ts';
export {classifyCallError} from './classify-call-error.ts';
export {commitChange, type Change, type ChangeOutcome} from './commit-change.ts';
export {
	createObjectStoreClient, type StoreCallKind, type ObjectStoreClient, type ObjectStoreClientDependencies, type ObjectStoreClientOptions, type StoreRates,
} from './object-store-client.ts';
export {InstanceCount} from './instance-count.ts';
export {UnreadableEntries} from './unreadable-entries.ts';
