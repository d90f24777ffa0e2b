/** Collects the status of every live instance, including its generation in force, from the instances whose addresses are given. */
import {requestStatus, type AdminStatus} from './_admin-client.ts';
import type {Clock} from '#clock';
import type {Result} from '#core';

/** Status of one live instance. */
export type InstanceStatus = Readonly<{
	name: string;
	zone: string;
	/** Generation in force; absent if no instance that answered has received this instance's status. */
	generation?: number;
	ready: boolean;
	running: number;
	leaving: boolean;
}>;

/** The live instances, sorted by name, and a message for each address that did not send its status. */
export type FleetStatus = Readonly<{instances: readonly InstanceStatus[]; errors: readonly string[]}>;

/** Requests the status of the given instances. The status that an instance reports of itself takes precedence over those reported by others. */
export async function requestFleetStatus(addresses: readonly string[], token: string): Promise<FleetStatus> {
	return mergeStatuses(await Promise.all(addresses.map(async address => requestStatus(address, token))));
}

/** Merges the results of several instances. If an instance did not answer itself, uses the status with the highest generation that others reported of it. */
export function mergeStatuses(results: ReadonlyArray<Result<AdminStatus, string>>): FleetStatus {
	const instancesByName = new Map<string, InstanceStatus>();
	const statuses = results.flatMap(result => result.ok ? [result.value] : []);
	for (const {instances} of statuses) {
		for (const {name, zone, leaving, state, status} of instances) {
			const previous = instancesByName.get(name);
			if (state === 'gone' || (previous && (previous.generation ?? -1) >= (status?.generation ?? -1))) {
				continue;
			}

			instancesByName.set(name, {
				name, zone, leaving, generation: status?.generation, ready: status?.ready ?? false, running: status?.running ?? 0,
			});
		}
	}

	for (const {name, zone, generation, ready, running} of statuses) {
		instancesByName.set(name, {
			name, zone, generation, ready, running, leaving: instancesByName.get(name)?.leaving ?? false,
		});
	}

	return {
		instances: [...instancesByName.values()].toSorted((a, b) => a.name < b.name ? -1 : 1),
		errors: results.flatMap(result => result.ok ? [] : [result.error]),
	};
}

/** Returns whether all addresses answered and every live instance that is not leaving has at least this generation in force. */
export function isGenerationInForce({instances, errors}: FleetStatus, generation: number): boolean {
	return errors.length === 0 && instances.length > 0 && instances.every(instance => instance.leaving || (instance.generation ?? 0) >= generation);
}

const pollIntervalMs = 200;

/** Polls until every live instance has the generation in force or `waitMs` have elapsed, and returns the last status. */
export async function waitForGeneration(clock: Clock, generation: number, waitMs: number, requestFleet: () => Promise<FleetStatus>): Promise<FleetStatus> {
	const deadlineMs = clock.now() + waitMs;
	for (;;) {
		const fleet = await requestFleet();
		if (isGenerationInForce(fleet, generation) || clock.now() >= deadlineMs) {
			return fleet;
		}

		await clock.sleep(pollIntervalMs);
	}
}
