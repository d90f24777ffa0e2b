/**
 * The interface to the platform's object API and its lagging list of
 * instances, with one adapter over HTTP.
 */
export type {
	InstanceEntry, Platform, PlatformFailure, PutOptions, StoredObject, WatchBatch,
} from './platform.ts';
export {createHttpPlatform, type HttpPlatformOptions} from './http-platform.ts';
export {commitChange, type Change, type ChangeOutcome} from './commit-change.ts';
export {
	createPlatformClient, type PlatformCallKind, type PlatformClient, type PlatformClientDeps, type PlatformClientOptions, type PlatformRates,
} from './client.ts';
