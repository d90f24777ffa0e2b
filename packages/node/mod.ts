/** One instance of the system: its settings, its parts wired together, and its servers. */
export {
	makeSettingsSchema, makeVariableName, parseSettings, settingsSchema, type Environment, type Settings,
} from './settings.ts';
export {createRouter, type Router, type RouterDeps} from './router.ts';
export {
	startRelayInstance, type RelayBounds, type RelayInstance, type RelayInstanceDeps, type StoredFormats, type TargetCalls,
} from './relay-instance.ts';
export {startInstance, type Instance} from './instance.ts';
export {
	Lifecycle, type HandOver, type LifecycleDeps, type Phase,
} from './lifecycle.ts';
export {
	provideSnapshots, restoreState, type WarmStartDeps,
} from './warm-start.ts';
