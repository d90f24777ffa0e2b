/** The callers' side: HTTP by `express`, parsing, and the answer as a stream or in one piece. */
export {
	createEntryApp, type EntryDeps, type EntryOptions, type HandleRequest,
} from './app.ts';
export {type CallerRequest} from './caller-request.ts';
