import path from 'node:path';
import t, {type Test} from 'tap';
import {exitCodes} from './exit-codes.ts';
import {formatFileError} from './_fragments.ts';
import {isGenerationInForce, mergeStatuses, waitForGeneration} from './_fleet-status.ts';
import {runCommandLine} from './program.ts';
import {digestKey} from '#admission';
import {createSystemClock, ManualClock} from '#clock';
import {fail, succeed} from '#core';
import {PlatformStandin, startPlatformServer} from '#standins';

async function runWithOutput(args: readonly string[], input = '') {
	const out: string[] = [];
	const err: string[] = [];
	const code = await runCommandLine(args, {
		write(line) {
			out.push(line);
		},
		warn(line) {
			err.push(line);
		},
		readInput: async () => input,
		environment: {APRICOTDOOR_ADMIN_TOKEN: 'operator'},
	});
	t.notMatch(err.join('\n'), /^\s+at /mv, 'no stack trace');
	return {code, out: out.join('\n'), err: err.join('\n')};
}

async function startPlatform(t: Test): Promise<string> {
	const server = await startPlatformServer(new PlatformStandin(createSystemClock(), {latencyMs: 0}));
	t.teardown(async () => server.destroy());
	return `http://${server.address}`;
}

const exampleDeployments = ['malerlagerforening', 'halalkeur'];

for (const name of exampleDeployments) {
	t.test(`check ${name}`, async t => {
		const {code, out, err} = await runWithOutput(['check', `examples/${name}`]);
		t.equal(code, exitCodes.ok);
		t.match(out, /^ok: 3 services, .* 8 customers$/v);
		t.equal(err, '', 'no warnings');
	});
}

t.test('check as JSON', async t => {
	const directory = t.testdir({'a.json': '{"service": "a", "rutes": []}'});
	const {code, out} = await runWithOutput(['check', directory, '--json']);
	t.equal(code, exitCodes.failed);
	t.match(JSON.parse(out), {ok: false, faults: [{field: 'rutes', message: /did you mean "routes"\?/v}]});
});

t.test('paths that cannot be read', async t => {
	const directory = t.testdir({empty: {}, file: 'x'});
	for (const [inputPath, message] of [[path.join(directory, 'none'), /does not exist; correct the path/v], [path.join(directory, 'empty'), /holds no \*\.json file/v]] as const) {
		const {code, err} = await runWithOutput(['check', inputPath]);
		t.equal(code, exitCodes.usage);
		t.match(err, message);
	}

	const serve = await runWithOutput(['serve', '--settings', path.join(directory, 'none')]);
	t.equal(serve.code, exitCodes.usage);
	t.match(serve.err, /does not exist/v);
});

t.test('settings with faults', async t => {
	const directory = t.testdir({'s.json': '{"name": "r1", "zon": "a"}'});
	const {code, err} = await runWithOutput(['serve', '--settings', path.join(directory, 's.json')]);
	t.equal(code, exitCodes.usage);
	t.match(err, /zon: unknown key; did you mean "zone"\?/v);
});

t.test('wrong usage', async t => {
	const unknown = await runWithOutput(['chek']);
	t.equal(unknown.code, exitCodes.usage);
	t.match(unknown.err, /Did you mean check\?/v);
	for (const args of [['publish', 'examples/halalkeur'], ['publish', '--admin', '127.0.0.1:1'], ['load', '--rate', 'fast'], ['status']]) {
		const {code} = await runWithOutput(args);
		t.equal(code, exitCodes.usage, args.join(' '));
	}
});

t.test('help and version', async t => {
	const help = await runWithOutput(['publish', '--help']);
	t.equal(help.code, exitCodes.ok);
	t.match(help.out, /Examples:/v);
	const version = await runWithOutput(['version']);
	t.match(version.out, /^\d+\.\d+\.\d+$/v);
});

t.test('digest of a key', async t => {
	const {out} = await runWithOutput(['digest'], 'a-key-of-sixteen-letters\n');
	t.equal(out, digestKey('a-key-of-sixteen-letters'));
	const {code} = await runWithOutput(['digest'], 'short');
	t.equal(code, exitCodes.usage);
});

t.test('platform and instance that do not answer', async t => {
	const {code, err} = await runWithOutput(['publish', 'examples/halalkeur', '--platform', 'http://127.0.0.1:1']);
	t.equal(code, exitCodes.unreachable);
	t.match(err, /not published: platform: unavailable/v);
	const status = await runWithOutput(['status', '--admin', '127.0.0.1:1']);
	t.equal(status.code, exitCodes.unreachable);
});

t.test('publish, conflict and removal', async t => {
	const platform = await startPlatform(t);
	const published = await runWithOutput(['publish', 'examples/halalkeur', '--platform', platform, '--json']);
	t.equal(published.code, exitCodes.ok, published.err);
	t.match(JSON.parse(published.out), {generation: 1, checksums: {model: /^[\da-f]{64}$/v}});
	const stale = await runWithOutput(['publish', 'examples/halalkeur', '--platform', platform, '--base', 'model=none']);
	t.equal(stale.code, exitCodes.conflict);
	t.match(stale.err, /another operator changed service "model".*--base model=[\da-f]{64}/v);
	const removed = await runWithOutput(['publish', '--remove', 'customers', '--platform', platform]);
	t.match(removed.out, /accepted as generation 2/v);
	const removedModel = await runWithOutput(['publish', '--remove', 'model', '--platform', platform]);
	t.equal(removedModel.code, exitCodes.ok, removedModel.err);
});

t.test('a removal that breaks another service is refused', async t => {
	const platform = await startPlatform(t);
	await runWithOutput(['publish', 'examples/halalkeur', '--platform', platform]);
	const {code, err} = await runWithOutput(['publish', '--remove', 'model', '--platform', platform]);
	t.equal(code, exitCodes.failed);
	t.match(err, /service customers \(in force\): customers\.0\.routes\.0: no route is named "dossier-chat"/v);
});

const status = {
	name: 'r1', zone: 'a', generation: 5, running: 0, ready: true,
};

function createPeer(name: string, generation: number, overrides: Readonly<{state?: string; leaving?: boolean}> = {}) {
	return {
		name, zone: 'a', state: 'live', leaving: false, status: {generation, ready: true, running: 0}, ...overrides,
	};
}

t.test('a generation is in force once every live instance has it', async t => {
	const createFleetStatus = (...instances: ReadonlyArray<ReturnType<typeof createPeer>>) => mergeStatuses([succeed({...status, instances: [...instances]})]);
	t.ok(isGenerationInForce(createFleetStatus(createPeer('r1', 4), createPeer('r2', 5)), 5));
	t.notOk(isGenerationInForce(createFleetStatus(createPeer('r2', 4)), 5));
	t.notOk(isGenerationInForce(createFleetStatus({...createPeer('r2', 5), status: undefined!}), 5));
	t.ok(isGenerationInForce(createFleetStatus(createPeer('r2', 4, {leaving: true}), createPeer('r3', 4, {state: 'gone'})), 5));
	t.notOk(isGenerationInForce(mergeStatuses([fail('no answer')]), 5));
});

t.test('waiting for a generation ends after the given time', async t => {
	const clock = new ManualClock();
	let requests = 0;
	const waiting = waitForGeneration(clock, 6, 1000, async () => {
		requests++;
		return mergeStatuses([succeed({...status, instances: []})]);
	});
	await clock.advance(2000);
	t.notOk(isGenerationInForce(await waiting, 6));
	t.equal(requests, 6);
});

t.test('a file without read permission', async t => {
	const error = Object.assign(new Error('x'), {code: 'EACCES', path: 'a.json'});
	t.equal(formatFileError(error), 'a.json: cannot be read: permission denied; change its permissions');
});
