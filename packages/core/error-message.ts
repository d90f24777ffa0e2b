/** Text of a thrown value. */

/** Returns the message of an error, or any other thrown value as text. */
export function getErrorMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
