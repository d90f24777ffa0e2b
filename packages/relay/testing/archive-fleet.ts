/**
 * Simulates a fleet whose instances begin streams while targets of two software
 * versions serve, and then end all at once, to measure which streams the archive of
 * origins still knows. Beyond twelve peers each instance has links to ten others.
 */
import {decodeArchivedOrigins} from '../_archived-origins.ts';
import {OriginArchive} from '../origin-archive.ts';
import {OriginExchange} from '../origin-exchange.ts';
import {computeStreamKey, StreamOrigins} from '../stream-origins.ts';
import {ManualClock} from '#clock';
import {createRandom, hash64} from '#core';
import {maxFullMeshPeers} from '#membership';
import {PeerNetworkStandin, PlatformStandin} from '#standins';
import type {PeerBus} from '#peer-protocol';
import {createTelemetry} from '#telemetry';

export type ArchiveFleetOptions = Readonly<{
	instances: number;
	/** Streams that begin in the whole fleet a second. */
	streamsPerSecond: number;
	/** Writes that the store accepts a second. */
	writesPerSecond: number;
	/** Time for which streams begin, in milliseconds. */
	durationMs: number;
	seed: number;
}>;

/** A stream, and when its first event was sent. */
export type SimulatedStream = Readonly<{key: string; softwareVersion: string; begunMs: number}>;

/** Number of neighbours in a fleet in which not all are linked to each other. */
const neighbourCount = 10;

const stepMs = 10;

/** Instances start within this time, so that their intervals differ in phase, in milliseconds. */
const maxStartDelayMs = 1000;

/** Runs the fleet, ends it, and reads the archive. */
export async function runArchiveFleet({instances, streamsPerSecond, writesPerSecond, durationMs, seed}: ArchiveFleetOptions) {
	const clock = new ManualClock();
	const random = createRandom(seed);
	const store = new PlatformStandin(clock, {writesPerSecond, latencyMs: 4});
	const network = new PeerNetworkStandin(clock);
	const stopping = new AbortController();
	const names = Array.from({length: instances}, (_item, index) => hash64(`${seed} ${index}`));
	const linked = linkInstances(names, random);
	const telemetry = createTelemetry({level: 'silent'});
	const started: Array<Readonly<{origins: StreamOrigins}>> = [];
	for (const name of names) {
		const origins = new StreamOrigins(clock);
		const bus = limitBus(network.join({name, zone: 'z', incarnation: name}), linked.get(name)!);
		const archive = new OriginArchive({
			clock, telemetry, store, urgentStore: store, kind: 'origins', incarnation: name, origins, bus, hasSeveralVersions: () => true,
			countInstances: () => instances, writesPerSecond, getRank: () => names.indexOf(name),
		});
		const exchange = new OriginExchange({
			origins, bus, clock, random, archive, hasSeveralVersions: () => true, listVersions: () => [], refresh: async () => undefined, isStoreAnswering: () => true,
		});
		clock.setTimer(random.next() * maxStartDelayMs, () => {
			void archive.run(stopping.signal);
			void exchange.run(stopping.signal);
		});
		started.push({origins});
	}

	await clock.advance(maxStartDelayMs);
	const streams: SimulatedStream[] = [];
	let due = 0;
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
		due += streamsPerSecond * stepMs / 1000;
		for (; due >= 1; due--) {
			const key = computeStreamKey('ann', `${seed} ${streams.length}`);
			const softwareVersion = random.next() < 0.5 ? 'v1' : 'v2';
			started[Math.floor(random.next() * instances)]!.origins.recordOwn(key, {pool: 'p', softwareVersion});
			streams.push({key, softwareVersion, begunMs: clock.now()});
		}

		await clock.advance(stepMs);
	}

	const writes = store.served.write;
	const endMs = clock.now();
	store.setDown(true);
	stopping.abort();
	await clock.advance(1000);
	store.setDown(false);

	const listing = store.list('origins/');
	await clock.advance(10);
	const listed = await listing;
	const objects = listed.ok ? listed.value.objects : [];
	const archived = new Map(objects.flatMap(({value}) => decodeArchivedOrigins(value) ?? []).map(({key, origin}) => [key, origin.softwareVersion]));
	return {
		writes, durationS: durationMs / 1000, objects: objects.length,
		archivists: new Set(objects.map(({key}) => key.split('-')[0])).size, bytes: objects.reduce((sum, {value}) => sum + value.length, 0),
		/** Counts the streams that began about `ageMs` before the end, and of these the ones that the archive knows at their version and at another one. */
		countArchived(ageMs: number, widthMs: number) {
			const begun = streams.filter(({begunMs}) => Math.abs(endMs - begunMs - ageMs) <= widthMs / 2);
			return {
				begun: begun.length,
				right: begun.filter(({key, softwareVersion}) => archived.get(key) === softwareVersion).length,
				wrong: begun.filter(({key, softwareVersion}) => archived.has(key) && archived.get(key) !== softwareVersion).length,
			};
		},
	};
}

/** Links each instance to all others, or to ten of them in a large fleet. */
function linkInstances(names: readonly string[], random: Readonly<{next: () => number}>): ReadonlyMap<string, ReadonlySet<string>> {
	const isMesh = names.length <= maxFullMeshPeers + 1;
	const linked = new Map(names.map(name => [name, new Set(isMesh ? names.filter(other => other !== name) : [])]));
	for (const name of isMesh ? [] : names) {
		for (let opened = 0; opened < neighbourCount / 2; opened++) {
			const other = names[Math.floor(random.next() * names.length)]!;
			if (other !== name) {
				linked.get(name)!.add(other);
				linked.get(other)!.add(name);
			}
		}
	}

	return linked;
}

/** Limits a bus to the neighbours of its instance. */
function limitBus(bus: PeerBus, neighbours: ReadonlySet<string>): PeerBus {
	const peers = [...neighbours].map(name => ({name, zone: 'z', incarnation: name}));
	const isNeighbour = ({name}: Readonly<{name: string}>) => neighbours.has(name);
	return {
		...bus,
		listNeighbours: () => peers,
		listChannelPeers: () => peers,
		listArchivingPeers: () => peers,
		sendToSample(message, isReceiver = () => true) {
			bus.sendToSample(message, peer => isNeighbour(peer) && isReceiver(peer));
		},
	};
}
