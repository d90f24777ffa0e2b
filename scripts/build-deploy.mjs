/**
 * Builds the program that the deploy file runs: `target/program.cjs`, its launcher
 * `target/apricotdoor.cjs`, and `target/program.cache`, the code cache of V8. The
 * cache is valid for the flags with which it was created, so they are read from the
 * deploy file.
 */
import {spawnSync} from 'node:child_process';
import {
	copyFile, mkdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import process from 'node:process';
import {bundle} from './bundle.mjs';

const launcher = 'target/apricotdoor.cjs';

/** First port for peers; several builds may run at the same time. */
const firstPort = 20_000 + (process.pid % 20_000);

/** Settings of an instance that reaches nothing: port 9 of the loopback interface discards what it is sent, or is closed. */
const settings = `
Node=build
Ip=127.0.0.1
Zone=build
Region=build
Zones.build=build
Listen.Front=127.0.0.1:0
Listen.Ready=127.0.0.1:0
Listen.Control=127.0.0.1:0
InnerPorts=${firstPort},${firstPort + 1}
Limits.MemoryMb=250
Limits.MaxFds=1000
Bounds.DrainMs=2000
Bounds.ConfigMs=2000
Bounds.GraceS=8
Bounds.RetryBudgetRatio=0.2
Bounds.RetryWindowS=10
Bounds.RetrySlack=56
Bounds.RequireFencing=true
Bounds.LeaseMs=3000
Bounds.VersionMs=8000
Platform.Address=127.0.0.1:9
Platform.WritesPerS=400
Platform.ReadsPerS=2000
`;

/** Reads the flags of Node.js in the deploy file. */
async function readFlags() {
	const deployFile = await readFile('deploy/system.toml', 'utf8');
	const [, command = ''] = /^run = "node (?<words>.*)"$/mv.exec(deployFile) ?? [];
	return command.slice(0, Math.max(0, command.indexOf(launcher))).split(' ').filter(Boolean);
}

await mkdir('target', {recursive: true});
await rm('target/program.cache', {force: true});
await bundle('platform/main.ts', 'target/program.cjs', {isDeployed: true});
await copyFile('scripts/launcher.cjs', launcher);
await writeFile('target/build.conf', settings.trimStart());
const run = spawnSync(process.execPath, [...await readFlags(), launcher], {
	env: {...process.env, APRICOTDOOR_CONFIG: 'target/build.conf', APRICOTDOOR_CODE_CACHE: 'target/program.cache'}, encoding: 'utf8', timeout: 10_000,
});
if (run.status !== 0) {
	// The program runs without a cache, but starts more slowly.
	console.error(`the code cache could not be created: ${run.stderr}`);
}
