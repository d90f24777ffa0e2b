/** One router instance: its settings, the wiring of its components, and its servers. */
export {
	createSettingsSchema, formatVariableName, parseSettings, settingsSchema, type Environment, type Settings,
} from './settings.ts';
export {createRouter, type Router, type RouterDependencies} from './router.ts';
export {
	startRelayInstance, type RelayBounds, type RelayInstance, type RelayInstanceDependencies, type StoredFormats, type TargetCalls,
} from './relay-instance.ts';
export {startInstance, type Instance} from './instance.ts';
export {
	Lifecycle, type DrainOptions, type InputCheck, type ShutdownHook, type LifecycleDependencies, type Phase,
} from './lifecycle.ts';
export {
	provideSnapshots, restoreState, type WarmStartDependencies,
} from './warm-start.ts';
