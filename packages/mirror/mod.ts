/** Mirrors: copies of kinds of the object store, kept level by watches and by peers. */
export {KindMirror, type MirrorChange} from './kind-mirror.ts';
export {followKind, type FollowDeps, type Watchers} from './follow-kind.ts';
export {MirrorRelay, type MirrorRelayDeps} from './relay-mirrors.ts';
