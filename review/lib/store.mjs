/**
 * A stand-in of the platform's metadata store: objects by kind and name, one
 * revision counter, conditional writes, lists by page, watches, and a history
 * that a watch can be too old for. All is kept in memory. In a drill, it is away
 * for a moment and comes back from a copy that is some seconds old.
 */
import {createServer} from 'node:http';

/** Maximum number of items on a page of a list. */
const pageSize = 500;

/** Time for which every version of the store's state is kept as a copy, in milliseconds. */
const copyRetentionMs = 30_000;

const maxWaitMs = 30_000;

export class Store {
	/** Number of calls by method and kind. */
	calls = new Map();
	/** Whether the store answers; if not, it resets connections. */
	isUp = true;
	/** Time after which a watch that is waiting is cut off, in milliseconds; infinite if none is. */
	watchLimitMs = Infinity;
	/** Called for each write of the system: what was sent and with which status it was answered. */
	handleWrite = () => undefined;
	#era = 1;
	#revision = 100;
	/** Objects by `kind/name`. */
	#objects = new Map();
	/** Changes, the oldest first. */
	#history = [];
	/** Revision up to which the history is gone. */
	#compactedRevision = 0;
	#copies = [];
	#waiting = new Set();
	#server = createServer((req, res) => {
		this.#handle(req, res).catch(() => {
			res.destroy();
		});
	});

	async listen(host, port) {
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
		this.address = `${host}:${this.#server.address().port}`;
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	get revision() {
		return this.#revision;
	}

	get(kind, name) {
		return this.#objects.get(`${kind}/${name}`);
	}

	/** Writes an object without a condition, as the operator and the runners do. Returns its revision. */
	put(kind, name, spec) {
		const existing = this.get(kind, name);
		if (existing && JSON.stringify(existing.spec) === JSON.stringify(spec)) {
			return existing.revision;
		}

		this.#revision++;
		const object = {
			kind, name, spec, status: existing?.status ?? null, revision: this.#revision, createRevision: existing?.createRevision ?? this.#revision,
		};
		this.#objects.set(`${kind}/${name}`, object);
		this.#recordChange(object, false);
		return object.revision;
	}

	remove(kind, name) {
		const existing = this.get(kind, name);
		if (existing) {
			this.#revision++;
			this.#objects.delete(`${kind}/${name}`);
			this.#recordChange({...existing, revision: this.#revision}, true);
		}
	}

	/** Takes the store away: it resets all connections until {@link Store.restore}. */
	takeAway() {
		this.isUp = false;
		this.#server.closeAllConnections();
		this.#wakeAll();
	}

	/** Brings the store back from its newest copy that is at least `ageMs` old. What was acknowledged since then is gone. */
	restore(ageMs) {
		const untilMs = performance.now() - ageMs;
		const copy = this.#copies.findLast(({atMs}) => atMs <= untilMs);
		if (!copy) {
			throw new Error('no copy is that old');
		}

		this.#objects = new Map(copy.objects);
		this.#revision = copy.revision;
		this.#history = this.#history.filter(({object}) => object.revision <= copy.revision);
		this.#copies = this.#copies.filter(({atMs}) => atMs <= copy.atMs);
		this.#era++;
		this.isUp = true;
		return copy.revision;
	}

	#recordChange(object, isRemoved) {
		const nowMs = performance.now();
		this.#history.push({object, isRemoved});
		this.#copies.push({atMs: nowMs, objects: new Map(this.#objects), revision: this.#revision});
		while (this.#copies.length > 1 && this.#copies[1].atMs < nowMs - copyRetentionMs) {
			this.#copies.shift();
		}

		this.#wakeAll();
	}

	#wakeAll() {
		for (const wake of this.#waiting) {
			wake();
		}
	}

	async #handle(req, res) {
		const text = await readText(req);
		if (!this.isUp) {
			req.socket.resetAndDestroy();
			return;
		}

		const url = new URL(req.url, 'http://store');
		const [kind = '', name, part] = url.pathname.split('/').slice(3).map(word => decodeURIComponent(word));
		const label = `${req.method} ${kind}`;
		this.calls.set(label, (this.calls.get(label) ?? 0) + 1);
		const answer = req.method === 'GET' ? await this.#read(kind, name, url.searchParams) : this.#write(req.method, {kind, name, part}, text === '' ? {} : JSON.parse(text), url.searchParams);
		if (!this.isUp || answer.isCutOff) {
			req.socket.resetAndDestroy();
			return;
		}

		if (req.method !== 'GET') {
			this.handleWrite({
				method: req.method, kind, name: name ?? answer.body?.Metadata?.Name, spec: text === '' ? undefined : JSON.parse(text).Spec, status: answer.status,
			});
		}

		res.writeHead(answer.status, {'content-type': 'application/json', 'store-era': String(this.#era)});
		res.end(answer.body === undefined ? '' : JSON.stringify(answer.body));
	}

	async #read(kind, name, query) {
		if (name !== undefined) {
			const object = this.get(kind, name);
			return object ? {status: 200, body: encode(object)} : {status: 404};
		}

		if (query.has('Watch')) {
			return this.#watch(kind, Number(query.get('Watch')), Math.min(maxWaitMs, Number(query.get('WaitMs') ?? 0)));
		}

		const after = query.get('after') ?? '';
		const objects = [...this.#objects.values()].filter(object => object.kind === kind && object.name > after).toSorted((a, b) => a.name < b.name ? -1 : 1);
		return {status: 200, body: {items: objects.slice(0, pageSize).map(object => encode(object)), HasMore: objects.length > pageSize, StoreRevision: this.#revision}};
	}

	async #watch(kind, since, waitMs) {
		const endMs = performance.now() + Math.min(waitMs, this.watchLimitMs);
		const era = this.#era;
		for (;;) {
			if (!this.isUp || this.#era !== era) {
				return {status: 503};
			}

			if (since < this.#compactedRevision || since > this.#revision) {
				return {status: 410};
			}

			const changes = this.#history.filter(({object}) => object.kind === kind && object.revision > since);
			const leftMs = endMs - performance.now();
			if (changes.length === 0 && leftMs <= 0 && waitMs > this.watchLimitMs) {
				return {isCutOff: true};
			}

			if (changes.length > 0 || leftMs <= 0) {
				return {status: 200, body: {Events: changes.map(({object, isRemoved}) => ({Object: encode(object), Tombstone: isRemoved})), StoreRevision: this.#revision}};
			}

			await new Promise(resolve => {
				const timer = setTimeout(() => {
					wake();
				}, leftMs);
				const wake = () => {
					clearTimeout(timer);
					this.#waiting.delete(wake);
					resolve();
				};

				this.#waiting.add(wake);
			});
		}
	}

	#write(method, {kind, name, part}, body, query) {
		const key = name ?? body.Metadata?.Name;
		const existing = this.get(kind, key);
		if (method === 'POST') {
			if (existing) {
				return {status: 409, body: encode(existing)};
			}

			this.put(kind, key, body.Spec);
			return {status: 200, body: encode(this.get(kind, key))};
		}

		if (!existing) {
			return {status: 404};
		}

		const condition = body.Metadata?.Revision ?? (query.has('Revision') ? Number(query.get('Revision')) : undefined);
		if (condition !== undefined && condition !== existing.revision) {
			return {status: 409, body: encode(existing)};
		}

		if (method === 'DELETE') {
			this.remove(kind, key);
			return {status: 200};
		}

		if (part !== 'status') {
			this.put(kind, key, body.Spec);
		}

		return {status: 200, body: encode(this.get(kind, key))};
	}
}

async function readText(req) {
	let text = '';
	for await (const chunk of req) {
		text += String(chunk);
	}

	return text;
}

function encode({name, spec, status, revision, createRevision}) {
	return {
		Metadata: {
			Name: name, Revision: revision, CreateRevision: createRevision, Finalizers: [], Deleting: false,
		},
		Spec: spec, Status: status,
	};
}
