/**
 * Configuration: the files beside each service's code, their checks, their
 * publication by conditional update, and the generation in force.
 */
export {serviceFileSchema, type ServiceFile} from './service-file.ts';
export {checkFragments, type ConfigurationFault, type Fragment} from './check.ts';
export {publishFragments, type PublishFailure, type PublishReceipt} from './publish.ts';
export {ConfigurationStore} from './store.ts';
export {headKey, fragmentPrefix} from './keys.ts';
