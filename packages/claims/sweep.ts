/**
 * Removes expired records from the platform. Each shard has one sweeper among
 * the live instances, by rendezvous hashing; two that disagree only cost calls,
 * since a removal is conditional on the version that was read.
 */
import {claimPrefix, parseRecord, shardDigits} from './record.ts';
import type {Clock} from '#clock';
import {hash64} from '#core';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

/** What a sweep works with. */
export type SweepDeps = Readonly<{
	clock: Clock;
	/** Its calls should be of the lowest priority. */
	platform: ObjectStore;
	telemetry: Telemetry;
	/** This instance's incarnation. */
	incarnation: string;
	/** Incarnations of the live peers. */
	listPeers: () => readonly string[];
}>;

/** Options of {@link sweepClaims}. */
export type SweepOptions = Readonly<{
	/** Time in which the fleet lists every shard once, in milliseconds. Default: one hour. */
	roundMs?: number;
}>;

const shardCount = 16 ** shardDigits;
const hourMs = 3_600_000;
/** Wall clocks of instances may differ by this much, in milliseconds. */
const skewMs = 300_000;

/** Sweeps this instance's shards, one after the other, until `signal` aborts. */
export async function sweepClaims(deps: SweepDeps, signal: AbortSignal, options: SweepOptions = {}): Promise<void> {
	const {clock, incarnation} = deps;
	const stepMs = (options.roundMs ?? hourMs) / shardCount;
	let shard = Number.parseInt(hash64(incarnation).slice(0, shardDigits), 16);
	while (!signal.aborted) {
		await clock.sleep(stepMs, signal);
		shard = (shard + 1) % shardCount;
		if (!signal.aborted && isOwn(deps, shard)) {
			await sweepShard(deps, shard);
		}
	}
}

function isOwn({incarnation, listPeers}: SweepDeps, shard: number): boolean {
	const rank = (name: string) => hash64(`${shard} ${name}`);
	const own = rank(incarnation);
	return listPeers().every(peer => rank(peer) <= own);
}

async function sweepShard({clock, platform, telemetry}: SweepDeps, shard: number): Promise<void> {
	const prefix = `${claimPrefix}${shard.toString(16).padStart(shardDigits, '0')}/`;
	const listed = await platform.list(prefix);
	for (const {key, value, version} of listed.ok ? listed.value.objects : []) {
		const record = parseRecord(value);
		if (record && clock.wall() > record.expiresWallMs + skewMs) {
			const removed = await platform.remove(key, {ifVersion: version});
			telemetry.count('claim_removals_total', {result: removed.ok ? 'ok' : removed.error.kind});
		}
	}
}
