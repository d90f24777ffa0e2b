/**
 * A stand-in of the platform's metadata store, as PROTOCOL.md tells it: objects by
 * kind and name, one revision counter, pages, watches and conditional writes. In a
 * drill it is away and comes back from an older copy, as the news tells it.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Time that an answer takes, in milliseconds. */
const answerMs = 4;

const pageSize = 500;

/** Kinds that the operator and the runners write; the system writes the others. */
const outsideKinds = new Set(['config', 'servers', 'versions']);

function encode({name, spec, revision, createRevision}) {
	return {
		Metadata: {
			Name: name, Revision: revision, CreateRevision: createRevision, Finalizers: [], Deleting: false,
		},
		Spec: spec, Status: null,
	};
}

async function readBody(req) {
	const parts = [];
	for await (const part of req) {
		parts.push(part);
	}

	return parts.length === 0 ? {} : JSON.parse(Buffer.concat(parts).toString());
}

export class Store {
	#kinds = new Map();
	#changes = [];
	#waiting = new Set();
	#revision = 1;
	/** Past states, for a drill: `{atMs, revision, kinds}`. */
	#copies = [];
	#era = 1;
	#isAway = false;
	/** Called with each call, before it is carried out: `{method, kind, name, body, isAway}`. */
	handleCall = () => undefined;
	#server = createServer({keepAliveTimeout: 60_000}, (req, res) => {
		this.#handle(req, res);
	});

	/** `host:port`; known once the store listens. */
	get address() {
		return `127.0.0.1:${this.#server.address().port}`;
	}

	async start() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Writes an object as the operator, a runner or another writer does. */
	put(kind, name, spec) {
		const entries = this.#getEntries(kind);
		const revision = ++this.#revision;
		const entry = {
			name, spec, revision, createRevision: entries.get(name)?.createRevision ?? revision,
		};
		entries.set(name, entry);
		this.#record({kind, entry, isRemoved: false});
		return entry;
	}

	remove(kind, name) {
		const entry = this.#getEntries(kind).get(name);
		if (entry) {
			this.#getEntries(kind).delete(name);
			this.#record({kind, entry: {...entry, revision: ++this.#revision}, isRemoved: true});
		}
	}

	get(kind, name) {
		return this.#getEntries(kind).get(name)?.spec;
	}

	/** Begins a drill: the store is away, and gives no answer. */
	leave() {
		this.#isAway = true;
		for (const wake of this.#waiting) {
			wake();
		}
	}

	/** Ends a drill: the store comes back from a copy that is at least this old. What the operator and the runners wrote since then is written again. */
	comeBack(ageMs) {
		const untilMs = performance.now() - ageMs;
		const copy = this.#copies.findLast(({atMs}) => atMs <= untilMs);
		const written = new Map([...outsideKinds].map(kind => [kind, new Map(this.#getEntries(kind))]));
		this.#kinds = new Map([...copy.kinds].map(([kind, entries]) => [kind, new Map(entries)]));
		this.#revision = copy.revision;
		this.#changes = this.#changes.filter(({entry}) => entry.revision <= copy.revision);
		this.#copies = this.#copies.filter(({atMs}) => atMs <= copy.atMs);
		this.#era++;
		for (const [kind, entries] of written) {
			for (const name of this.#getEntries(kind).keys()) {
				if (!entries.has(name)) {
					this.remove(kind, name);
				}
			}

			for (const [name, {spec}] of entries) {
				if (JSON.stringify(spec) !== JSON.stringify(this.get(kind, name))) {
					this.put(kind, name, spec);
				}
			}
		}

		this.#isAway = false;
	}

	#getEntries(kind) {
		if (!this.#kinds.has(kind)) {
			this.#kinds.set(kind, new Map());
		}

		return this.#kinds.get(kind);
	}

	#record(change) {
		this.#changes.push(change);
		this.#copies.push({atMs: performance.now(), revision: this.#revision, kinds: new Map([...this.#kinds].map(([kind, entries]) => [kind, new Map(entries)]))});
		for (const wake of this.#waiting) {
			wake();
		}
	}

	async #handle(req, res) {
		const url = new URL(req.url, 'http://store');
		const [kind = '', name] = url.pathname.split('/').slice(3).map(part => decodeURIComponent(part));
		const body = await readBody(req);
		this.handleCall({
			method: req.method, kind, name, body, isAway: this.#isAway,
		});
		const era = this.#era;
		await new Promise(resolve => {
			setTimeout(resolve, answerMs);
		});
		if (this.#isAway) {
			req.socket.destroy();
			return;
		}

		const {status, value} = req.method === 'GET' ? await this.#read(kind, name, url.searchParams) : this.#write(req.method, {kind, name, query: url.searchParams}, body);
		if (this.#isAway || era !== this.#era) {
			req.socket.destroy();
			return;
		}

		res.writeHead(status, {'content-type': 'application/json', 'store-era': String(era)});
		res.end(JSON.stringify(value));
	}

	async #read(kind, name, query) {
		if (name !== undefined) {
			const entry = this.#getEntries(kind).get(name);
			return entry ? {status: 200, value: encode(entry)} : {status: 404, value: {}};
		}

		if (query.has('Watch')) {
			return this.#watch(kind, Number(query.get('Watch')), Number(query.get('WaitMs') ?? 0));
		}

		const after = query.get('after') ?? '';
		const items = [...this.#getEntries(kind).values()].filter(entry => entry.name > after).toSorted((a, b) => a.name < b.name ? -1 : 1);
		return {status: 200, value: {items: items.slice(0, pageSize).map(entry => encode(entry)), HasMore: items.length > pageSize, StoreRevision: this.#revision}};
	}

	async #watch(kind, since, waitMs) {
		const endMs = performance.now() + Math.min(waitMs, 30_000);
		for (;;) {
			if (since > this.#revision) {
				return {status: 410, value: {}};
			}

			const changes = this.#changes.filter(change => change.kind === kind && change.entry.revision > since);
			const leftMs = endMs - performance.now();
			if (changes.length > 0 || leftMs <= 0 || this.#isAway) {
				return {status: 200, value: {Events: changes.map(({entry, isRemoved}) => ({Object: encode(entry), Tombstone: isRemoved})), StoreRevision: this.#revision}};
			}

			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.#waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, leftMs);
				this.#waiting.add(wake);
			});
		}
	}

	#write(method, {kind, name, query}, body) {
		const key = name ?? body.Metadata?.Name ?? '';
		const existing = this.#getEntries(kind).get(key);
		if (method === 'POST') {
			return existing ? {status: 409, value: encode(existing)} : {status: 200, value: encode(this.put(kind, key, body.Spec))};
		}

		if (!existing) {
			return {status: 404, value: {}};
		}

		const condition = body.Metadata?.Revision ?? (query.has('Revision') ? Number(query.get('Revision')) : existing.revision);
		if (condition !== existing.revision) {
			return {status: 409, value: encode(existing)};
		}

		if (method === 'DELETE') {
			this.remove(kind, key);
			return {status: 200, value: {}};
		}

		return {status: 200, value: encode(this.put(kind, key, body.Spec))};
	}
}
