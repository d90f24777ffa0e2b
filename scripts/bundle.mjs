/** Bundles one entry file with its packages into a CommonJS file. */
import {build} from 'esbuild';

/** Leaves out the optional parts of `bunyan`, which it does without when loading them fails. */
const omitOptional = {
	name: 'omit-optional',
	setup(api) {
		api.onResolve({filter: /^(dtrace-provider|mv|source-map-support)$/v}, ({path}) => ({path, namespace: 'omitted'}));
		api.onLoad({filter: /.*/v, namespace: 'omitted'}, ({path}) => ({contents: `throw new Error('${path} is left out');`}));
	},
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
