/** Bundles one entry file with its packages into a CommonJS file. */
import {build} from 'esbuild';

/** Leaves out the optional parts of `bunyan`, which it does without when loading them fails. */
const omitOptional = {
	name: 'omit-optional',
	/* eslint-disable require-unicode-regexp -- esbuild reads filters as regular expressions of Go, which has no such flag */
	setup(api) {
		api.onResolve({filter: /^(dtrace-provider|mv|source-map-support)$/}, ({path}) => ({path, namespace: 'omitted'}));
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
