/** Records errors that nobody expected, where they end: the activity that they escaped from has failed, and all others go on. */
import type {Telemetry} from './telemetry.ts';

/** Activities from which an error may escape. */
export type EscapedActivity = 'request' | 'attempt' | 'entry' | 'change' | 'message' | 'engine_watch' | 'task' | 'other';

/** Maximum length of a stack trace in a log line, in characters. */
const maxStackLength = 1000;

/** Counts and logs an error that has ended an activity; `fields` say which one. */
export function recordEscapedError(telemetry: Pick<Telemetry, 'count' | 'log'>, activity: EscapedActivity, error: unknown, fields: Readonly<Record<string, unknown>> = {}): void {
	telemetry.count('escaped_errors_total', {activity});
	const text = error instanceof Error ? error.stack ?? error.message : String(error);
	telemetry.log('an error has ended an activity', {activity, ...fields, error: text.slice(0, maxStackLength)});
}
