/** The configuration in force on this instance: read from the platform, then watched. */
import Emittery from 'emittery';
import {checkFragments} from './check.ts';
import type {Fragment} from './fragment.ts';
import {headKey, makeFragmentKey} from './keys.ts';
import {headSchema} from './head.ts';
import type {Clock} from '#clock';
import type {Configuration} from '#core';
import type {Platform} from '#platform';
import type {Telemetry} from '#telemetry';

type StoreEvents = {changed: Configuration};

const retryMs = 500;

/** Keeps the newest accepted generation in force; a generation never falls. */
export class ConfigurationStore {
	readonly events = new Emittery<StoreEvents>();
	#current: Configuration | undefined;
	readonly #platform: Platform;
	readonly #clock: Clock;
	readonly #telemetry: Telemetry;
	readonly #texts = new Map<string, string>();

	constructor(platform: Platform, clock: Clock, telemetry: Telemetry) {
		this.#platform = platform;
		this.#clock = clock;
		this.#telemetry = telemetry;
	}

	/** The configuration in force; none before the first read. */
	get current(): Configuration | undefined {
		return this.#current;
	}

	/** Follows the head until `signal` aborts. One task per instance. */
	async run(signal: AbortSignal): Promise<void> {
		let revision = 0;
		while (!signal.aborted) {
			const loaded = await this.refresh();
			const batch = loaded ? await this.#platform.watch(headKey, revision, signal) : undefined;
			if (batch?.ok) {
				revision = batch.value.revision;
				continue;
			}

			await this.#clock.sleep(retryMs, signal);
		}
	}

	/**
	 * Reads the head and the fragments that are not known yet.
	 *
	 * @returns whether the platform answered
	 */
	async refresh(): Promise<boolean> {
		const stored = await this.#platform.get(headKey);
		if (!stored.ok) {
			return false;
		}

		if (!stored.value) {
			return true;
		}

		const head = headSchema.parse(JSON.parse(stored.value.value));
		if (head.generation <= (this.#current?.generation ?? 0)) {
			return true;
		}

		const fragments: Fragment[] = [];
		for (const [service, checksum] of Object.entries(head.fragments)) {
			const key = makeFragmentKey(service, checksum);
			const text = await this.#readText(key);
			if (text === undefined) {
				return false;
			}

			fragments.push({file: key, text});
		}

		const checked = checkFragments(fragments, head.generation);
		if (checked.ok) {
			this.#install(checked.value.configuration);
		}

		return true;
	}

	async #readText(key: string): Promise<string | undefined> {
		const known = this.#texts.get(key);
		if (known !== undefined) {
			return known;
		}

		const stored = await this.#platform.get(key);
		if (!stored.ok || !stored.value) {
			return undefined;
		}

		this.#texts.set(key, stored.value.value);
		return stored.value.value;
	}

	#install(configuration: Configuration): void {
		this.#current = configuration;
		this.#telemetry.count('configuration_changes_total');
		this.#telemetry.set('configuration_generation', configuration.generation);
		this.#telemetry.log('configuration in force', {generation: configuration.generation});
		void this.events.emit('changed', configuration);
	}
}
