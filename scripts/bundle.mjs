/** Bundles one entry file with its packages into a CommonJS file. */
import path from 'node:path';
import {build} from 'esbuild';

/** Omits optional dependencies of `bunyan`, `undici` and `cbor-x`, which work without them when loading fails. */
const omitOptional = {
	name: 'omit-optional',
	/* eslint-disable require-unicode-regexp -- esbuild reads filters as regular expressions of Go, which has no such flag */
	setup(api) {
		api.onResolve({filter: /^(dtrace-provider|mv|source-map-support|node:sqlite|cbor-extract)$/}, ({path}) => ({path, namespace: 'omitted'}));
		api.onLoad({filter: /.*/, namespace: 'omitted'}, ({path}) => ({contents: `throw new Error('${path} is omitted from the bundle');`}));
	},
	/* eslint-enable require-unicode-regexp */
};

/** Bundles only the client parts of `undici`, which halves the start-up time. */
const clientOnly = {
	name: 'client-only',
	setup(api) {
		api.onResolve({filter: /^undici$/}, () => ({path: path.resolve('scripts/undici-client.cjs')})); // eslint-disable-line require-unicode-regexp -- esbuild reads filters as regular expressions of Go, which has no such flag
	},
};

/** Omits parts of libraries that a deployed instance never uses, but that load further modules of Node.js at the start: HTTP/2 (not offered to targets) and the push gateway of metrics. */
const omitUnused = {
	name: 'omit-unused',
	setup(api) {
		/* eslint-disable require-unicode-regexp -- esbuild reads filters as regular expressions of Go, which has no such flag */
		api.onResolve({filter: /(client-h2\.js|\/pushgateway)$/}, ({path}) => ({path, namespace: 'unused'}));
		api.onLoad({filter: /.*/, namespace: 'unused'}, ({path}) => ({contents: `module.exports = class { constructor() { throw new Error('${path} is omitted from the bundle'); } };`}));
		/* eslint-enable require-unicode-regexp */
	},
};

/**
 * Bundles an entry file.
 *
 * @param {string} entry source file
 * @param {string} outfile path of the bundle
 * @param {{isDeployed?: boolean}} options `isDeployed`: whether the bundle runs on the platform of the users, where it must start fast
 */
export async function bundle(entry, outfile, {isDeployed = false} = {}) {
	await build({
		entryPoints: [entry],
		outfile,
		bundle: true,
		platform: 'node',
		target: 'node20',
		format: 'cjs',
		plugins: isDeployed ? [omitOptional, clientOnly, omitUnused] : [omitOptional],
		minifyWhitespace: isDeployed,
		logLevel: 'warning',
	});
}
