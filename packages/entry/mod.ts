/** The HTTP entry for callers, built on `express`: parses requests and sends answers as event streams or as one body. */
export {
	createEntryApp, type EntryDependencies, type EntryOptions, type RequestHandler,
} from './app.ts';
export {type CallerRequest} from './caller-request.ts';
