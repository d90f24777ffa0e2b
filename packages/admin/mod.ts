/** The operators' side: health, readiness, status and metrics over HTTP. */
export {createAdminApp, type AdminDeps} from './app.ts';
