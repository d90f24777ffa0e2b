/**
 * A stand-in for the platform, with versioned objects, conditional updates,
 * watches, rate limits, outages, responses lost after the change took effect, and
 * a delayed list of instances.
 */
import type {Clock} from '#clock';
import {fail, succeed, type Result} from '#core';
import type {
	InstanceEntry, ObjectList, ObjectStore, StoreFailure, PutOptions, StoredObject, WatchBatch, WatchOptions,
} from '#object-store';

/** Options of {@link PlatformStandin}. */
export type PlatformOptions = Readonly<{
	/** Maximum rate of writes per second, with bursts of up to one second's worth. Default: 300. */
	writesPerSecond?: number;
	/** Maximum rate of reads per second, less one for each open watch. Default: 2000. */
	readsPerSecond?: number;
	/** Duration of a call, in milliseconds. Default: 2. */
	latencyMs?: number;
	/** Time after which a watch without changes returns, in milliseconds. Default: 10 000. */
	watchTimeoutMs?: number;
	/** Time after which a change of the instance list becomes visible, in milliseconds. Default: 3000. */
	listLagMs?: number;
}>;

type InstanceListChange = Readonly<{atMs: number; entries: ReadonlyMap<string, InstanceEntry>}>;
type StoredChange = Readonly<{atMs: number; object?: StoredObject}>;
type CallKind = 'read' | 'write';

const maxValueBytes = 1_048_576;
/** Maximum number of past states per object that a lagging read can return. */
const maxHistoryEntries = 16;

/** The object API in memory, with faults that a test switches on. */
export class PlatformStandin implements ObjectStore {
	/** Number of admitted calls by kind. */
	readonly served = {read: 0, write: 0};
	readonly #clock: Clock;
	readonly #options: PlatformOptions;
	readonly #objects = new Map<string, StoredObject>();
	readonly #deletedRevisions = new Map<string, number>();
	readonly #tokenBuckets = new Map<CallKind, {tokens: number; atMs: number}>();
	#revision = 0;
	readonly #wakeCallbacks = new Set<() => void>();
	#instanceListChanges: InstanceListChange[] = [];
	#isDown = false;
	#latencyFactor = 1;
	#responsesToLose = 0;
	#writesToDelay = 0;
	#writeDelayMs = 0;
	#readLagMs = 0;
	readonly #history = new Map<string, StoredChange[]>();
	#openWatches = 0;

	constructor(clock: Clock, options: PlatformOptions = {}) {
		this.#clock = clock;
		this.#options = options;
	}

	// Faults.

	/** Starts or ends an outage. Open watches fail when it starts. */
	setDown(isDown: boolean): void {
		this.#isDown = isDown;
		this.#wakeWatches();
	}

	/** Multiplies the duration of each call by a factor. */
	setLatencyFactor(factor: number): void {
		this.#latencyFactor = factor;
	}

	/** Loses the responses to the next `count` writes, after they took effect. */
	loseResponses(count: number): void {
		this.#responsesToLose = count;
	}

	/** Makes the next `count` writes take effect only after `delayMs`. Their responses are lost immediately. */
	delayWrites(count: number, delayMs: number): void {
		this.#writesToDelay = count;
		this.#writeDelayMs = delayMs;
	}

	/** Makes reads of single objects and lists return the state of `lagMs` ago. */
	setReadLag(lagMs: number): void {
		this.#readLagMs = lagMs;
	}

	/** Adds an instance to the list, or updates its entry. The change becomes visible after `listLagMs`. */
	setInstance(entry: InstanceEntry): void {
		this.#updateInstanceList(entries => {
			entries.set(entry.name, entry);
		});
	}

	/** Removes an instance from the list. The change becomes visible after `listLagMs`. */
	removeInstance(name: string): void {
		this.#updateInstanceList(entries => {
			entries.delete(name);
		});
	}

	// The object API.

	async get(key: string): Promise<Result<StoredObject | undefined, StoreFailure>> {
		const failure = await this.#admitCall('read');
		return failure ? fail(failure) : succeed(this.#getVisibleObject(key));
	}

	async put(key: string, value: string, options: PutOptions = {}): Promise<Result<StoredObject, StoreFailure>> {
		const failure = await this.#admitCall('write');
		if (failure) {
			return fail(failure);
		}

		if (value.length > maxValueBytes) {
			return fail({kind: 'too_large', detail: `value of ${key} has ${value.length} bytes of at most ${maxValueBytes}`});
		}

		return this.#write(() => this.#put(key, value, options));
	}

	async remove(key: string, options: PutOptions = {}): Promise<Result<void, StoreFailure>> {
		const failure = await this.#admitCall('write');
		return failure ? fail(failure) : this.#write(() => this.#remove(key, options));
	}

	async list(prefix: string): Promise<Result<ObjectList, StoreFailure>> {
		const failure = await this.#admitCall('read');
		if (failure) {
			return fail(failure);
		}

		const keys = [...this.#history.keys()].filter(key => key.startsWith(prefix));
		const objects = keys.map(key => this.#getVisibleObject(key)).filter(object => object !== undefined);
		// A lagging list reports the newest revision among the objects that it returns.
		return succeed({objects, revision: this.#readLagMs > 0 ? Math.max(0, ...objects.map(({revision}) => revision)) : this.#revision});
	}

	async watch(prefix: string, revision: number, signal: AbortSignal, {waitMs}: WatchOptions = {}): Promise<Result<WatchBatch, StoreFailure>> {
		const failure = await this.#admitCall('read');
		if (failure) {
			return fail(failure);
		}

		this.#openWatches++;
		const watchTimeoutMs = this.#options.watchTimeoutMs ?? 10_000;
		const batch = await this.#watch(prefix, revision, signal, Math.min(waitMs ?? watchTimeoutMs, watchTimeoutMs));
		this.#openWatches--;
		return batch;
	}

	async listInstances(): Promise<Result<readonly InstanceEntry[], StoreFailure>> {
		const failure = await this.#admitCall('read');
		if (failure) {
			return fail(failure);
		}

		const visibleMs = this.#clock.now() - (this.#options.listLagMs ?? 3000);
		const visible = this.#instanceListChanges.findLast(change => change.atMs <= visibleMs);
		return succeed([...(visible?.entries.values() ?? [])]);
	}

	/** Makes all pending changes of the instance list visible immediately. */
	flushInstanceList(): void {
		const latest = this.#instanceListChanges.at(-1);
		this.#instanceListChanges = latest ? [{atMs: -Infinity, entries: latest.entries}] : [];
	}

	// Internals.

	async #watch(prefix: string, revision: number, signal: AbortSignal, waitMs: number): Promise<Result<WatchBatch, StoreFailure>> {
		const deadlineMs = this.#clock.now() + waitMs;
		for (;;) {
			if (this.#isDown) {
				return fail({kind: 'unavailable', detail: 'the platform is down'});
			}

			const batch = this.#listChanges(prefix, revision);
			const remainingMs = deadlineMs - this.#clock.now();
			if (batch.changed.length + batch.deleted.length > 0 || remainingMs <= 0 || signal.aborted) {
				return succeed(batch);
			}

			await this.#waitForChange(remainingMs, signal);
		}
	}

	/** Applies a write now, or later if it is to be delayed, and loses its response if a test asked for it. */
	#write<Value>(apply: () => Result<Value, StoreFailure>): Result<Value, StoreFailure> {
		if (this.#writesToDelay > 0) {
			this.#writesToDelay--;
			this.#clock.setTimer(this.#writeDelayMs, () => {
				apply();
			});
			return fail({kind: 'unknown', detail: 'the answer was lost'});
		}

		const result = apply();
		return result.ok ? this.#loseResponse() ?? result : result;
	}

	#put(key: string, value: string, options: PutOptions): Result<StoredObject, StoreFailure> {
		const version = this.#objects.get(key)?.version ?? 0;
		if (options.ifVersion !== undefined && options.ifVersion !== version) {
			return fail({kind: 'conflict', detail: `${key} has version ${version}, not ${options.ifVersion}`});
		}

		this.#revision++;
		const stored: StoredObject = {
			key, value, version: version + 1, revision: this.#revision,
		};
		this.#objects.set(key, stored);
		this.#deletedRevisions.delete(key);
		this.#recordChange(key, stored);
		this.#wakeWatches();
		return succeed(stored);
	}

	#remove(key: string, options: PutOptions): Result<void, StoreFailure> {
		const version = this.#objects.get(key)?.version ?? 0;
		if (options.ifVersion !== undefined && options.ifVersion !== version) {
			return fail({kind: 'conflict', detail: `${key} has version ${version}, not ${options.ifVersion}`});
		}

		this.#revision++;
		this.#objects.delete(key);
		this.#deletedRevisions.set(key, this.#revision);
		this.#recordChange(key);
		this.#wakeWatches();
		return succeed(undefined);
	}

	#recordChange(key: string, object?: StoredObject): void {
		const history = this.#history.get(key) ?? [];
		history.push({atMs: this.#clock.now(), object});
		this.#history.set(key, history.slice(-maxHistoryEntries));
	}

	/** Returns the state of an object as a read sees it, after the read lag. */
	#getVisibleObject(key: string): StoredObject | undefined {
		const visibleMs = this.#clock.now() - this.#readLagMs;
		return this.#history.get(key)?.findLast(change => change.atMs <= visibleMs)?.object;
	}

	async #admitCall(kind: CallKind): Promise<StoreFailure | undefined> {
		await this.#clock.sleep((this.#options.latencyMs ?? 2) * this.#latencyFactor);
		if (this.#isDown) {
			return {kind: 'unavailable', detail: 'the platform is down'};
		}

		if (!this.#acquireToken(kind)) {
			return {kind: 'rate_limited', detail: `over the platform's rate of ${kind}s`};
		}

		this.served[kind]++;
		return undefined;
	}

	#acquireToken(kind: CallKind): boolean {
		const rate = kind === 'read' ? Math.max(0, (this.#options.readsPerSecond ?? 2000) - this.#openWatches) : this.#options.writesPerSecond ?? 300;
		const now = this.#clock.now();
		const bucket = this.#tokenBuckets.get(kind) ?? {tokens: rate, atMs: now};
		const tokens = Math.min(rate, bucket.tokens + ((now - bucket.atMs) * rate / 1000));
		const hasToken = tokens >= 1;
		this.#tokenBuckets.set(kind, {tokens: hasToken ? tokens - 1 : tokens, atMs: now});
		return hasToken;
	}

	/** Returns the failure that replaces the response, if this response is to be lost. */
	#loseResponse(): Result<never, StoreFailure> | undefined {
		if (this.#responsesToLose === 0) {
			return undefined;
		}

		this.#responsesToLose--;
		return fail({kind: 'unknown', detail: 'the answer was lost'});
	}

	#listChanges(prefix: string, revision: number): WatchBatch {
		return {
			changed: [...this.#objects.values()].filter(object => object.revision > revision && object.key.startsWith(prefix)),
			deleted: [...this.#deletedRevisions].filter(([key, deletedRevision]) => deletedRevision > revision && key.startsWith(prefix)).map(([key]) => key),
			revision: this.#revision,
		};
	}

	async #waitForChange(timeoutMs: number, signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = () => {
				this.#wakeCallbacks.delete(wake);
				cancel();
				signal.removeEventListener('abort', wake);
				resolve();
			};

			const cancel = this.#clock.setTimer(timeoutMs, wake);
			signal.addEventListener('abort', wake, {once: true});
			this.#wakeCallbacks.add(wake);
		});
	}

	#wakeWatches(): void {
		for (const wake of this.#wakeCallbacks) {
			wake();
		}
	}

	#updateInstanceList(change: (entries: Map<string, InstanceEntry>) => void): void {
		const entries = new Map(this.#instanceListChanges.at(-1)?.entries);
		change(entries);
		this.#instanceListChanges.push({atMs: this.#clock.now(), entries});
	}
}
