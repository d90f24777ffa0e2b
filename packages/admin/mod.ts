/** The operators' side: health, readiness, status, publishing, explanations and metrics over HTTP. */
export {createAdminApp, type AdminDeps, type ExplainQuery} from './app.ts';
export {adminRefusalRules, type AdminRefusalReason} from './refusals.ts';
