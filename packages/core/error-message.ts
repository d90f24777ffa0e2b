/** Text of a thrown value. */

/** The message of an error, or the value itself as text. */
export function toMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
