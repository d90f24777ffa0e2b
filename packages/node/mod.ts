/** One instance of the system: its settings, its parts wired together, and its servers. */
export {parseSettings, settingsSchema, type Settings} from './settings.ts';
export {createRouter, type Router, type RouterDeps} from './router.ts';
export {startInstance, type Instance} from './instance.ts';
