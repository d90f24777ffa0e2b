/** Bundles one entry file with its packages into a CommonJS file. */
import path from 'node:path';
import {build} from 'esbuild';

/** Leaves out optional parts of `bunyan`, `undici` and `cbor-x`, which do without them when loading fails. */
const omitOptional = {
	name: 'omit-optional',
	/* eslint-disable require-unicode-regexp -- esbuild reads filters as regular expressions of Go, which has no such flag */
	setup(api) {
		api.onResolve({filter: /^(dtrace-provider|mv|source-map-support|node:sqlite|cbor-extract)$/}, ({path}) => ({path, namespace: 'omitted'}));
		api.onLoad({filter: /.*/, namespace: 'omitted'}, ({path}) => ({contents: `throw new Error('${path} is left out');`}));
	},
	/* eslint-enable require-unicode-regexp */
};

/** Takes only the client parts of `undici`, which halves the time to start. */
const clientOnly = {
	name: 'client-only',
	setup(api) {
		api.onResolve({filter: /^undici$/}, () => ({path: path.resolve('scripts/undici-client.cjs')})); // eslint-disable-line require-unicode-regexp -- esbuild reads filters as regular expressions of Go, which has no such flag
	},
};

/**
 * Writes the bundle.
 *
 * @param {string} entry source file
 * @param {string} outfile where the bundle goes
 * @param {{isDeployed?: boolean}} options whether the bundle runs on the users' platform, where it must start fast
 */
export async function bundle(entry, outfile, {isDeployed = false} = {}) {
	await build({
		entryPoints: [entry],
		outfile,
		bundle: true,
		platform: 'node',
		target: 'node20',
		format: 'cjs',
		plugins: isDeployed ? [omitOptional, clientOnly] : [omitOptional],
		minifyWhitespace: isDeployed,
		logLevel: 'warning',
	});
}
