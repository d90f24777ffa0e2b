/** Builds `target/apricotdoor.cjs`, the program that the deploy file runs. */
import {mkdir} from 'node:fs/promises';
import {bundle} from './bundle.mjs';

await mkdir('target', {recursive: true});
await bundle('platform/main.ts', 'target/apricotdoor.cjs', {isDeployed: true});
