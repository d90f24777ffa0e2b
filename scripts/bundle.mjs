/** Bundles one entry file with its packages into a CommonJS file. */
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

/**
 * Writes the bundle.
 *
 * @param {string} entry source file
 * @param {string} outfile where the bundle goes
 */
export async function bundle(entry, outfile) {
	await build({
		entryPoints: [entry],
		outfile,
		bundle: true,
		platform: 'node',
		target: 'node20',
		format: 'cjs',
		plugins: [omitOptional],
		logLevel: 'warning',
	});
}
