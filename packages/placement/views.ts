/** What this instance knows of each target: its last report, its cached keys, and what was sent to it since. */
import type {CacheEventBatch, LoadReport} from '#core';

/** Knowledge of one target. */
export type TargetView = Readonly<{
	name: string;
	incarnation: string;
	report?: LoadReport;
	/** Piece keys believed to be cached. */
	cached: ReadonlySet<string>;
	/** Requests that this instance has in progress there. */
	inFlight: number;
	leaving: boolean;
}>;

/** What one instance tells another about a target. */
export type TargetSummary = Readonly<{
	target: string;
	incarnation: string;
	leaving: boolean;
	/** Number of the newest cache event that is covered. */
	sequence: number;
	/** Piece keys believed to be cached. */
	keys: readonly string[];
}>;

type Entry = {
	name: string;
	incarnation: string;
	report?: LoadReport;
	cached: Set<string>;
	sequence: number;
	inFlight: number;
	leaving: boolean;
};

/** Views of all targets by name. */
export class TargetViews {
	readonly #entries = new Map<string, Entry>();

	get(name: string): TargetView {
		return this.#find(name);
	}

	/** Takes in a load report; a new incarnation drops all cached keys. */
	applyReport(name: string, report: LoadReport): void {
		const entry = this.#find(name);
		this.#setIncarnation(entry, report.incarnation);
		entry.report = report;
		entry.leaving ||= report.leaving;
	}

	/** Takes in cache events in order. */
	applyEvents(name: string, batch: CacheEventBatch): void {
		const entry = this.#find(name);
		this.#setIncarnation(entry, batch.incarnation);
		for (const event of batch.events) {
			if (event.kind === 'cleared') {
				entry.cached.clear();
			}

			for (const key of event.keys) {
				if (event.kind === 'stored') {
					entry.cached.add(key);
				} else {
					entry.cached.delete(key);
				}
			}
		}

		entry.sequence = batch.sequence;
	}

	/** Records that a prompt was prefilled on a target of the given incarnation. */
	applyPrefill(name: string, incarnation: string, keys: readonly string[]): void {
		const entry = this.#find(name);
		this.#setIncarnation(entry, incarnation);
		for (const key of keys) {
			entry.cached.add(key);
		}
	}

	/**
	 * The cached keys of every target, for an instance that starts.
	 *
	 * @param maxKeys most keys in all; each target gets an equal part
	 */
	exportSummaries(maxKeys: number): readonly TargetSummary[] {
		const known = [...this.#entries.values()].filter(({incarnation}) => incarnation !== '');
		const share = Math.floor(maxKeys / Math.max(1, known.length));
		return known.map(({name, incarnation, leaving, sequence, cached}) => ({
			target: name, incarnation, leaving, sequence, keys: [...cached].slice(0, share),
		}));
	}

	/** Takes in a summary, unless this instance has heard of the target's other incarnation or of newer cache events. */
	importSummary(summary: TargetSummary): void {
		const entry = this.#find(summary.target);
		const isOther = entry.incarnation !== '' && entry.incarnation !== summary.incarnation;
		if (isOther || entry.sequence > summary.sequence) {
			return;
		}

		entry.incarnation = summary.incarnation;
		entry.sequence = summary.sequence;
		entry.leaving ||= summary.leaving;
		for (const key of summary.keys) {
			entry.cached.add(key);
		}
	}

	/** Sequence number after which the next cache events are wanted. */
	getSequence(name: string): number {
		return this.#find(name).sequence;
	}

	/** Counts a request in progress. */
	addInFlight(name: string, by: 1 | -1): void {
		this.#find(name).inFlight += by;
	}

	/** Marks a target as leaving; the mark stays for the incarnation. */
	markLeaving(name: string): void {
		this.#find(name).leaving = true;
	}

	#find(name: string): Entry {
		let entry = this.#entries.get(name);
		if (!entry) {
			entry = {
				name, incarnation: '', cached: new Set(), sequence: 0, inFlight: 0, leaving: false,
			};
			this.#entries.set(name, entry);
		}

		return entry;
	}

	#setIncarnation(entry: Entry, incarnation: string): void {
		if (entry.incarnation === incarnation) {
			return;
		}

		entry.incarnation = incarnation;
		entry.cached.clear();
		entry.sequence = 0;
		entry.leaving = false;
		entry.report = undefined;
	}
}
