/** Texts of answers whose head does not end, for tests of whoever reads answers. */

/** Lists answers that break off inside their head, at different places. `lines` are its header lines, each with its line break. */
export function listBrokenHeads(lines: string): readonly string[] {
	const begun = `HTTP/1.1 200 OK\r\n${lines}`;
	return [
		'H',
		'HTTP/1.1 2',
		'HTTP/1.1 200 OK\r\n',
		begun,
		`${begun}x-no`,
		`${begun}content-length: 2`,
		`${begun}content-length: 2\r`,
		`${begun}content-length: 2\r\n\r`,
		`${begun}transfer-encoding: chunked\r\n`,
		'HTTP/1.1 103 Early\r\nconnection: close\r\n\r\n',
		`HTTP/1.1 103 Early\r\n\r\n${begun}`,
	];
}

/** Lists answers whose head does not end and is followed by another answer, so that a parser takes both for one. */
export function listJoinedHeads(status: number, lines: string, follower: string): readonly string[] {
	const begun = `HTTP/1.1 ${status} OK`;
	return [`${begun}${follower}`, `${begun}\r\n${lines}x-note: ${follower}`, `${begun}\r\n${lines}x-note: some tex${follower}`];
}
