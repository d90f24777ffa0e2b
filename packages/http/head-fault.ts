/**
 * Heads of answers that an HTTP parser accepts though they prove nothing. A head
 * that never ended is completed by the next answer on its connection: the status
 * line of that answer becomes a part of a header value or of the reason phrase.
 */

const statusLine = /HTTP\/\d\.\d \d{3}/v;

/**
 * Explains why the head of an answer must not be used, or returns `undefined` if it may be.
 *
 * @param reason reason phrase of the status line
 * @param lines alternating header names and values
 */
export function explainHeadFault(reason: string, lines: readonly string[]): string | undefined {
	let transferCodings = 0;
	for (let index = 0; index < lines.length; index += 2) {
		const value = lines[index + 1]!;
		if (statusLine.test(value)) {
			return `the header ${lines[index]!} contains the status line of another answer`;
		}

		// A body in another coding would reach its reader encoded, and only the end of its connection would end it (RFC 9112, section 6.3).
		if (lines[index]!.toLowerCase() === 'transfer-encoding' && (++transferCodings > 1 || value.trim().toLowerCase() !== 'chunked')) {
			return 'the answer has another transfer coding than chunked';
		}
	}

	return statusLine.test(reason) ? 'the status line contains that of another answer' : undefined;
}
