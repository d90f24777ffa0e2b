/** Builds `dist/apricotdoor`, a single executable that contains Node.js. */
import {execFileSync} from 'node:child_process';
import {
	chmod, copyFile, mkdir, readFile, writeFile,
} from 'node:fs/promises';
import process from 'node:process';
import {inject} from 'postject';
import {bundle} from './bundle.mjs';

/** Marker of the flag in the Node.js executable that shows whether a program is embedded. */
const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

await mkdir('dist', {recursive: true});
await bundle('packages/cli/main.ts', 'dist/apricotdoor.cjs');
await writeFile('dist/sea-config.json', JSON.stringify({
	main: 'dist/apricotdoor.cjs', output: 'dist/apricotdoor.blob', disableExperimentalSEAWarning: true,
}));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea-config.json'], {stdio: 'ignore'});
await copyFile(process.execPath, 'dist/apricotdoor');
await chmod('dist/apricotdoor', 0o755);
await inject('dist/apricotdoor', 'NODE_SEA_BLOB', await readFile('dist/apricotdoor.blob'), {sentinelFuse});
