/** Addresses of processes as others write them, checked once and then safe to connect to. */
import {isIPv4} from 'node:net';

/** A checked address. */
export type Address = Readonly<{
	/** IPv4 address, IPv6 address without brackets, or host name, in the spelling of the URL standard. */
	host: string;
	/** 1 to 65535. */
	port: number;
}>;

const maxPort = 65_535;

/** Maximum length of a host name (RFC 1035, section 2.3.4). */
const maxHostLength = 253;

const maxTextLength = maxHostLength + ':65535'.length;

/** Labels of a host name; underscores occur in practice. */
const hostNamePattern = /^[a-z\d_](?:[a-z\d_\-]{0,61}[a-z\d_])?(?:\.[a-z\d_](?:[a-z\d_\-]{0,61}[a-z\d_])?)*$/iv;

/**
 * Parses `host:port`, where an IPv6 address stands in brackets. Spellings of one
 * address give the same value.
 *
 * @returns `undefined` if no connection could be opened to the address
 * @example
 * ```ts
 * parseAddress('[::0001]:080'); // {host: '::1', port: 80}
 * ```
 */
export function parseAddress(text: string): Address | undefined {
	if (text.length > maxTextLength) {
		return undefined;
	}

	const match = /^(?<host>[^:]+|\[[\da-f:.]+\]):(?<port>\d{1,5})$/iv.exec(text);
	const host = match?.groups?.host ?? '';
	const port = Number(match?.groups?.port ?? 0);
	const isPossible = host.startsWith('[') || isIPv4(host) || hostNamePattern.test(host);
	// The URL parser decides in the end, as the client for HTTP uses it.
	if (!isPossible || port < 1 || port > maxPort || !URL.canParse(`http://${host}:${port}`)) {
		return undefined;
	}

	const {hostname} = new URL(`http://${host}:${port}`);
	// The URL standard also reads `10.1` and `0x7f.1` as IPv4 addresses.
	if (isIPv4(hostname) && !isIPv4(host)) {
		return undefined;
	}

	return {host: hostname.startsWith('[') ? hostname.slice(1, -1) : hostname, port};
}

/** Formats an address as `host:port`, with an IPv6 address in brackets. */
export function formatAddress({host, port}: Address): string {
	return `${host.includes(':') ? `[${host}]` : host}:${port}`;
}

/** Returns the one spelling of an address; `undefined` if the text is none. */
export function normalizeAddress(text: string): string | undefined {
	const address = parseAddress(text);
	return address && formatAddress(address);
}
