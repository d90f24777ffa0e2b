/** Bundles an entry file and runs it in this process: `node scripts/run.mjs FILE ARGUMENT…`. */
import {mkdir} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {bundle} from './bundle.mjs';

const [entry] = process.argv.splice(2, 1);
const outfile = path.resolve('dist', 'run', `${path.basename(path.dirname(entry))}-${process.pid}.cjs`);
await mkdir(path.dirname(outfile), {recursive: true});
await bundle(entry, outfile);
process.argv[1] = outfile;
// The bundle omits `cbor-extract`, the native part of `cbor-x`.
process.env.CBOR_NATIVE_ACCELERATION_DISABLED ??= 'true';
await import(pathToFileURL(outfile).href);
