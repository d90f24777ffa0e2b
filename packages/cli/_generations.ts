/** The generation in force on every live instance, as the given instances know it. */
import {readStatus, type AdminStatus} from './_admin-client.ts';
import type {Clock} from '#clock';
import type {Result} from '#core';

/** One live instance. */
export type InstanceLine = Readonly<{
	name: string;
	zone: string;
	/** Generation in force; absent while nobody heard it. */
	generation?: number;
	ready: boolean;
	running: number;
	leaving: boolean;
}>;

/** All live instances, and the addresses that did not answer. */
export type FleetView = Readonly<{lines: readonly InstanceLine[]; errors: readonly string[]}>;

/** Asks the given instances; what an instance says of itself goes before what others say of it. */
export async function readFleet(addresses: readonly string[], token: string): Promise<FleetView> {
	return mergeStatuses(await Promise.all(addresses.map(async address => readStatus(address, token))));
}

/** Joins the statuses of several instances. */
export function mergeStatuses(results: ReadonlyArray<Result<AdminStatus, string>>): FleetView {
	const lines = new Map<string, InstanceLine>();
	const statuses = results.flatMap(result => result.ok ? [result.value] : []);
	for (const {instances} of statuses) {
		for (const {name, zone, leaving, state, status} of instances) {
			const known = lines.get(name);
			if (state === 'gone' || (known && (known.generation ?? -1) >= (status?.generation ?? -1))) {
				continue;
			}

			lines.set(name, {
				name, zone, leaving, generation: status?.generation, ready: status?.ready ?? false, running: status?.running ?? 0,
			});
		}
	}

	for (const {name, zone, generation, ready, running} of statuses) {
		lines.set(name, {
			name, zone, generation, ready, running, leaving: lines.get(name)?.leaving ?? false,
		});
	}

	return {
		lines: [...lines.values()].toSorted((a, b) => a.name < b.name ? -1 : 1),
		errors: results.flatMap(result => result.ok ? [] : [result.error]),
	};
}

/** Whether every live instance that is not leaving has the generation in force. */
export function hasGeneration({lines, errors}: FleetView, generation: number): boolean {
	return errors.length === 0 && lines.length > 0 && lines.every(line => line.leaving || (line.generation ?? 0) >= generation);
}

const pollMs = 200;

/** Polls until every live instance has the generation in force, or the time is over. */
export async function waitForGeneration(clock: Clock, generation: number, waitMs: number, read: () => Promise<FleetView>): Promise<FleetView> {
	const endMs = clock.now() + waitMs;
	for (;;) {
		const view = await read();
		if (hasGeneration(view, generation) || clock.now() >= endMs) {
			return view;
		}

		await clock.sleep(pollMs);
	}
}
