/** Finds the process that holds the other end of a loopback connection, so that a stand-in can cut off one instance: all have the same source address. */
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';

const tcpTable = '/proc/net/tcp';

/** Returns the id of the process, of these, that holds the local end with this address and port. */
export function findOwner(pids, address, port) {
	const inode = findInode(formatEndpoint(address, port));
	return inode === undefined ? undefined : pids.find(pid => holdsInode(pid, inode));
}

function formatEndpoint(address, port) {
	const bytes = address.split('.').map(Number).toReversed();
	return `${bytes.map(byte => byte.toString(16).padStart(2, '0')).join('')}:${port.toString(16).padStart(4, '0')}`.toUpperCase();
}

function findInode(endpoint) {
	for (const line of readFileSync(tcpTable, 'utf8').split('\n')) {
		const columns = line.trim().split(/\s+/v);
		if (columns[1] === endpoint) {
			return columns[9];
		}
	}

	return undefined;
}

function holdsInode(pid, inode) {
	const folder = `/proc/${pid}/fd`;
	try {
		return readdirSync(folder).some(name => {
			try {
				return readlinkSync(`${folder}/${name}`) === `socket:[${inode}]`;
			} catch {
				return false;
			}
		});
	} catch {
		return false;
	}
}
