/** Outcomes as values: a function that can fail returns a result. */

/** Either a value or a typed error. */
export type Result<Value, Failure>
	= | Readonly<{ok: true; value: Value}>
		| Readonly<{ok: false; error: Failure}>;

/** Wraps a value as a success. */
export function succeed<Value>(value: Value): Result<Value, never> {
	return {ok: true, value};
}

/** Wraps an error as a failure. */
export function fail<Failure>(error: Failure): Result<never, Failure> {
	return {ok: false, error};
}
