import t from 'tap';
import {claimPrefix, sweepClaims} from './mod.ts';
import {ManualClock} from '#clock';
import {prepareHash} from '#core';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

t.before(prepareHash);

/** One millisecond for each of the 4096 shards. */
const roundMs = 4096;
const shards = ['000', '5a7', 'fff'];

async function createFixture(expiresWallMs: (clock: ManualClock) => number) {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	const value = JSON.stringify({
		state: 'unknown', fingerprint: 'f', owner: {name: 'r', incarnation: 'r'}, nonce: 'n', endsWallMs: 0, expiresWallMs: expiresWallMs(clock),
	});
	const writes = Promise.all(shards.map(async shard => platform.put(`${claimPrefix}${shard}/x`, value)));
	await clock.advance(100);
	await writes;
	return {clock, platform};
}

async function sweep({clock, platform}: Awaited<ReturnType<typeof createFixture>>): Promise<number> {
	const stopping = new AbortController();
	const incarnations = ['r1', 'r2', 'r3'];
	const tasks = incarnations.map(async incarnation => sweepClaims({
		clock, platform, telemetry: createTelemetry({level: 'silent'}), incarnation,
		listPeers: () => incarnations.filter(other => other !== incarnation),
	}, stopping.signal, {roundMs}));
	const readsBefore = platform.served.read;
	await clock.advance(roundMs * 4);
	stopping.abort();
	await clock.advance(100);
	await Promise.all(tasks);
	return platform.served.read - readsBefore;
}

async function countRecords({clock, platform}: Awaited<ReturnType<typeof createFixture>>): Promise<number> {
	const listing = platform.list(claimPrefix);
	await clock.advance(100);
	const listed = await listing;
	return listed.ok ? listed.value.objects.length : -1;
}

t.test('removes expired records', async t => {
	const fixture = await createFixture(clock => clock.getWallTimeMs() - 3_600_000);
	await sweep(fixture);
	t.equal(await countRecords(fixture), 0);
});

t.test('keeps records until they expire', async t => {
	const fixture = await createFixture(clock => clock.getWallTimeMs() + 3_600_000);
	await sweep(fixture);
	t.equal(await countRecords(fixture), 3);
});

t.test('lists each shard about once per round', async t => {
	const fixture = await createFixture(clock => clock.getWallTimeMs() + 3_600_000);
	const reads = await sweep(fixture);
	t.ok(reads <= 4 * 4096);
	t.ok(reads >= 4096);
});
