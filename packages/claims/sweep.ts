/**
 * Removes expired claim records from the platform. Rendezvous hashing assigns
 * each shard to one live instance. If two instances both sweep a shard, this
 * only costs additional calls, since a removal is conditional on the version
 * that was read.
 */
import {claimPrefix, parseClaimRecord, shardDigitCount} from './record.ts';
import type {Clock} from '#clock';
import {hash64} from '#core';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

export type SweepDependencies = Readonly<{
	clock: Clock;
	/** Object store whose calls have the lowest priority. */
	platform: ObjectStore;
	telemetry: Telemetry;
	/** This instance's incarnation. */
	incarnation: string;
	/** Lists the incarnations of the live peers. */
	listPeers: () => readonly string[];
}>;

/** Options of {@link sweepClaims}. */
export type SweepOptions = Readonly<{
	/** Time in which the instances together list every shard once, in milliseconds. Default: one hour. */
	roundMs?: number;
}>;

const shardCount = 16 ** shardDigitCount;
const hourMs = 3_600_000;
/** Assumed maximum difference between the wall clocks of instances, in milliseconds. */
const maxClockSkewMs = 300_000;

/** Sweeps the shards of this instance, one after the other, until `signal` aborts. */
export async function sweepClaims(dependencies: SweepDependencies, signal: AbortSignal, options: SweepOptions = {}): Promise<void> {
	const {clock, incarnation} = dependencies;
	const shardIntervalMs = (options.roundMs ?? hourMs) / shardCount;
	let shard = Number.parseInt(hash64(incarnation).slice(0, shardDigitCount), 16);
	while (!signal.aborted) {
		await clock.sleep(shardIntervalMs, signal);
		shard = (shard + 1) % shardCount;
		if (!signal.aborted && isOwnShard(dependencies, shard)) {
			await sweepShard(dependencies, shard);
		}
	}
}

function isOwnShard({incarnation, listPeers}: SweepDependencies, shard: number): boolean {
	const rank = (name: string) => hash64(`${shard} ${name}`);
	const ownRank = rank(incarnation);
	return listPeers().every(peer => rank(peer) <= ownRank);
}

async function sweepShard({clock, platform, telemetry}: SweepDependencies, shard: number): Promise<void> {
	const prefix = `${claimPrefix}${shard.toString(16).padStart(shardDigitCount, '0')}/`;
	const listed = await platform.list(prefix);
	for (const {key, value, version} of listed.ok ? listed.value.objects : []) {
		const record = parseClaimRecord(value);
		if (record && clock.getWallTimeMs() > record.expiresWallMs + maxClockSkewMs) {
			const removed = await platform.remove(key, {ifVersion: version});
			telemetry.count('claim_removals_total', {result: removed.ok ? 'ok' : removed.error.kind});
		}
	}
}
