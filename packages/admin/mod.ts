/** The administration API over HTTP: health, readiness, status, publishing, explanations of placements, and metrics. */
export {createAdminApp, type AdminDependencies, type ExplainQuery} from './app.ts';
export {adminRefusalRules, type AdminRefusalReason} from './refusals.ts';
