/**
 * What the bytes of an answer say, read as RFC 9112 states it and without the
 * parser that the router uses, for tests that compare the two.
 */

/** How the connection ends after the bytes: it stays open, or is closed or reset by the target. */
export type ConnectionEnd = 'open' | 'close' | 'reset';

/** A complete answer. */
export type ModelAnswer = Readonly<{
	status: number;
	/** Header lines in their order, with names in lower case. */
	lines: ReadonlyArray<readonly [name: string, value: string]>;
	body: string;
	/** Whether only the end of the connection ends the body. */
	endsWithConnection: boolean;
}>;

type Head = Readonly<{status: number; lines: ReadonlyArray<readonly [name: string, value: string]>; rest: string}>;

const statusLinePattern = /^HTTP\/\d\.\d (?<status>\d{3})(?: (?<reason>[^\r\n]*))?\r\n/v;
const headerLinePattern = /^(?<name>[\w!#$%\u0026'*+.^`\|~\-]+):[ \t]*(?<value>[^\r\n]*?)[ \t]*\r\n/v;
const foreignStatusLine = /HTTP\/\d\.\d \d{3}/v;
const chunkHeaderPattern = /^(?<size>[\dA-Fa-f]+)(?:[ \t]*;[^\r\n]*)?\r\n/v;

/** Reads the first final answer to a request with this method; `undefined` unless the bytes are one complete answer, or begin with one. */
export function readAnswer(method: string, text: string, end: ConnectionEnd): ModelAnswer | undefined {
	let head = readHead(text.replace(/^[\r\n]+/v, ''));
	while (head && head.status < 200) {
		head = readHead(head.rest.replace(/^[\r\n]+/v, ''));
	}

	if (!head) {
		return undefined;
	}

	const {status, lines} = head;
	const names = new Set(lines.map(([name]) => name));
	const body = readBody(method, head, end);
	return body === undefined
		? undefined
		: {
			status, lines, body, endsWithConnection: !isBodyless(method, status) && !names.has('content-length') && !names.has('transfer-encoding'),
		};
}

function readHead(text: string): Head | undefined {
	const start = statusLinePattern.exec(text);
	if (!start || foreignStatusLine.test(start.groups!.reason ?? '')) {
		return undefined;
	}

	const lines: Array<readonly [string, string]> = [];
	let rest = text.slice(start[0].length);
	while (!rest.startsWith('\r\n')) {
		const line = headerLinePattern.exec(rest);
		if (!line || foreignStatusLine.test(line.groups!.value!)) {
			return undefined;
		}

		lines.push([line.groups!.name!.toLowerCase(), line.groups!.value!]);
		rest = rest.slice(line[0].length);
	}

	return {status: Number(start.groups!.status), lines, rest: rest.slice(2)};
}

function isBodyless(method: string, status: number): boolean {
	return method === 'HEAD' || status === 204 || status === 304;
}

function readBody(method: string, {status, lines, rest}: Head, end: ConnectionEnd): string | undefined {
	if (isBodyless(method, status)) {
		return '';
	}

	const codings = lines.filter(([name]) => name === 'transfer-encoding');
	const lengths = lines.filter(([name]) => name === 'content-length').map(([, value]) => value);
	if (codings.length > 0) {
		return codings.length === 1 && codings[0]![1].toLowerCase() === 'chunked' && lengths.length === 0 ? readChunks(rest) : undefined;
	}

	if (lengths.length === 0) {
		return end === 'close' ? rest : undefined;
	}

	const length = Number(lengths[0]);
	return lengths.length === 1 && /^\d+$/v.test(lengths[0]!) && rest.length >= length ? rest.slice(0, length) : undefined;
}

function readChunks(text: string): string | undefined {
	let body = '';
	let rest = text;
	for (;;) {
		const header = chunkHeaderPattern.exec(rest);
		if (!header) {
			return undefined;
		}

		const size = Number.parseInt(header.groups!.size!, 16);
		rest = rest.slice(header[0].length);
		if (size === 0) {
			return hasTrailer(rest) ? body : undefined;
		}

		if (rest.length < size + 2 || rest.slice(size, size + 2) !== '\r\n') {
			return undefined;
		}

		body += rest.slice(0, size);
		rest = rest.slice(size + 2);
	}
}

/** Whether a text begins with a whole trailer section, which may be empty. */
function hasTrailer(text: string): boolean {
	let rest = text;
	while (!rest.startsWith('\r\n')) {
		const line = headerLinePattern.exec(rest);
		if (!line) {
			return false;
		}

		rest = rest.slice(line[0].length);
	}

	return true;
}
