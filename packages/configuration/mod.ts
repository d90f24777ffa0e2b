/**
 * Configuration: the service files that are kept with each service's code, the
 * checks on them, their publication by conditional update, and the generation
 * in force on an instance.
 */
export {serviceFileSchema, type ServiceFile} from './service-file.ts';
export {checkFragments, type CheckedFragments} from './check.ts';
export {maxFragmentBytes, type ConfigurationFault, type Fragment} from './fragment.ts';
export {explainIssues, formatSuggestion, type FieldFault} from './explain-issues.ts';
export {
	noBase, publishFragments, type PublishFailure, type PublishOptions, type PublishReceipt,
} from './publish.ts';
export {readHead, type Head} from './head.ts';
export {createServiceFileSchema} from './json-schema.ts';
export {ConfigurationStore, type ConfigurationStoreOptions} from './configuration-store.ts';
export {headKey, fragmentPrefix} from './keys.ts';
