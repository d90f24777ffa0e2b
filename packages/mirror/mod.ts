/** Mirrors: copies of all objects of a kind in the object store, kept up to date by watches and by peers. */
export {KindMirror, type MirrorChange} from './kind-mirror.ts';
export {
	refreshMirror, syncMirror, type WatchPace, type SyncMirrorDependencies, type Watchers,
} from './sync-mirror.ts';
export {MirrorRelay, type MirrorRelayDependencies} from './mirror-relay.ts';
