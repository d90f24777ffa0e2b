/**
 * A stand-in of a runner: a plain service, or a model engine with its reports,
 * orders and cache events. It registers itself in the store and writes its entry
 * again in every heartbeat interval.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

const heartbeatMs = 1200;

/** Time for which an engine loads new weights, in milliseconds. */
const loadMs = 400;

const eventsLimitMs = 1000;

export class Runner {
	/** Requests that have run: id, path, tenant and start. */
	runs = [];
	/** Orders as they arrived, each with its answer's status. */
	orders = [];
	#store;
	#options;
	#running = 0;
	#version = 1;
	#acceptedOrders = 0;
	#highestFence = 0;
	#isBusy = false;
	#state = 'ready';
	#isRegistered = true;
	#isLeaving = false;
	#bornMs = Date.now();
	#heartbeat;
	#server = createServer((req, res) => {
		this.#handle(req, res).catch(() => {
			res.destroy();
		});
	});
	/** Takes connections, so that all can be closed at once. */
	#listener = createTcpServer(socket => {
		socket.on('error', () => undefined);
		this.#connections.add(socket);
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
		this.#server.emit('connection', socket);
	});
	#connections = new Set();

	/** @param options `id`, `service`, `zone`, `slots`, `workMs`, and `model` of an engine */
	constructor(store, options) {
		this.#store = store;
		this.#options = {
			slots: 6, workMs: 20, softwareVersion: 'v1', checksFences: true, pieces: 5, pieceMs: 20, ...options,
		};
		this.id = options.id;
	}

	get state() {
		return this.#state;
	}

	get version() {
		return this.#version;
	}

	async start(host, trial) {
		this.trial = trial;
		await this.#listen(host, 0);
		trial.addCleanup(() => {
			this.end();
		});
	}

	async #listen(host, port) {
		await new Promise((resolve, reject) => {
			this.#listener.once('error', reject);
			this.#listener.listen(port, host, resolve);
		});
		this.address = `${host}:${this.#listener.address().port}`;
		this.#isRegistered = true;
		this.#register();
		this.#heartbeat = setInterval(() => {
			this.#register();
		}, heartbeatMs);
	}

	/** Reports in its entry that this runner is about to leave. */
	drain() {
		this.#state = 'draining';
		this.#register();
	}

	/** Says in all answers that this runner leaves. */
	sayLeaving() {
		this.#isLeaving = true;
	}

	/** Ends the process and starts it again `downMs` later at the same address: under the id that it had, or under `id`. */
	async restart(downMs, id = this.id) {
		const {address} = this;
		this.end();
		this.trial.record('a runner has ended', {runner: this.id});
		await delay(downMs);
		if (id !== this.id) {
			this.#store.remove('servers', this.id);
			this.id = id;
		}

		this.#isLeaving = false;
		this.#state = 'ready';
		this.#acceptedOrders = 0;
		this.#highestFence = 0;
		this.#bornMs = Date.now();
		const [host, port] = address.split(':');
		await this.#listen(host, Number(port));
		this.trial.record('a runner has started again', {runner: this.id, born: this.#bornMs});
	}

	/** Removes the entry, without having reported `draining`; this runner goes on serving. */
	removeEntry() {
		clearInterval(this.#heartbeat);
		this.#isRegistered = false;
		this.#store.remove('servers', this.id);
	}

	/** Ends the process. */
	end() {
		clearInterval(this.#heartbeat);
		this.#isRegistered = false;
		this.#listener.close();
		for (const socket of this.#connections) {
			socket.destroy();
		}
	}

	#register() {
		if (!this.#store.isUp || !this.#isRegistered) {
			return;
		}

		const {service, zone, slots, model, softwareVersion} = this.#options;
		this.#store.put('servers', this.id, {
			Service: service, Address: this.address, Zone: zone, Version: softwareVersion, Slots: slots, State: this.#state, ColdLeftMs: 0, Seq: 1, born: this.#bornMs,
			...(model === undefined ? {} : {Stage: 'both', Models: this.#listModels()}),
		});
	}

	#listModels() {
		return [{Name: this.#options.model, Version: this.#version, Adapters: []}];
	}

	async #handle(req, res) {
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		const body = Buffer.concat(chunks).toString();
		const url = new URL(req.url, 'http://runner');
		res.setHeader('x-apricotdoor-instance-id', this.id);
		if (this.#isLeaving) {
			res.setHeader('server-leaving', '1');
		}

		const expected = req.headers['x-apricotdoor-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			res.writeHead(421, {'x-apricotdoor-not-executed': '1'}).end();
			return;
		}

		if (url.pathname === '/healthz') {
			res.writeHead(this.#state === 'ready' ? 200 : 503, {'x-apricotdoor-runner-load': this.#formatLoad()}).end();
		} else if (this.#options.model !== undefined && url.pathname.startsWith('/api/')) {
			await this.#answerCall(url, req, res, body);
		} else {
			await this.#run(req, res, body);
		}
	}

	#formatLoad() {
		return `${this.#running},0,${this.#options.slots}`;
	}

	async #answerCall(url, req, res, body) {
		const send = (status, value) => {
			const text = JSON.stringify(value);
			res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}).end(text);
		};

		switch (url.pathname) {
			case '/api/report': {
				send(200, {
					Stage: 'both', Models: this.#listModels(), Busy: this.#isBusy, Seq: this.#acceptedOrders, Waiting: 0, Running: this.#running, KvUsed: 0, KvTotal: 100_000, Handles: 0,
				});

				break;
			}

			case '/api/order': {
				const order = JSON.parse(body);
				const status = this.#takeOrder(order);
				this.orders.push({
					atMs: this.trial.nowMs, holder: order.Holder, fence: order.Fence, version: order.Version, status, from: req.socket.remoteAddress,
				});
				this.trial.record('order reached a runner', {runner: this.id, ...this.orders.at(-1)});
				send(status, {});

				break;
			}

			case '/api/kv-events': {
				await delay(Math.min(eventsLimitMs, Number(req.headers['wait-ms'] ?? 0)));
				send(200, {
					BootEpoch: 1, NextToken: 1, Lost: false, Events: [],
				});

				break;
			}

			default: {
				send(404, {});
			}
		}
	}

	/** Takes an order as PROTOCOL.md says; returns the status of the answer. */
	#takeOrder({Model: model, Version: version, Holder: holder, Fence: fence, Precondition: precondition}) {
		if (holder === undefined || fence === undefined || model !== this.#options.model) {
			return 400;
		}

		if (this.#options.checksFences && fence < this.#highestFence) {
			return 412;
		}

		this.#highestFence = Math.max(this.#highestFence, fence);
		if (version === this.#version) {
			return 200;
		}

		if (this.#isBusy || (precondition !== undefined && precondition !== this.#acceptedOrders)) {
			return 409;
		}

		this.#acceptedOrders++;
		this.#isBusy = true;
		setTimeout(() => {
			this.#isBusy = false;
			this.#version = version;
			this.#register();
		}, loadMs);
		return 202;
	}

	async #run(req, res, body) {
		const id = req.headers['x-apricotdoor-request-id'];
		const {slots, workMs, model} = this.#options;
		const refuse = status => {
			res.writeHead(status, {'x-apricotdoor-request-id': id, 'x-apricotdoor-not-executed': '1', 'x-apricotdoor-runner-load': this.#formatLoad()}).end();
		};

		const expectedVersion = req.headers['x-apricotdoor-expect-version'];
		if (expectedVersion !== undefined && Number(expectedVersion) !== this.#version) {
			refuse(421);
			return;
		}

		if (this.#isBusy || this.#running >= slots * 5) {
			refuse(503);
			return;
		}

		this.#running++;
		this.runs.push({
			id, atMs: this.trial.nowMs, path: req.url, tenant: req.headers['x-apricotdoor-tenant'], from: req.socket.remoteAddress, bytes: body.length,
		});
		try {
			await (model === undefined ? this.#answerPlain(res, id, workMs) : this.#answerStream(req, res, id));
		} finally {
			this.#running--;
		}
	}

	async #answerPlain(res, id, workMs) {
		await delay(workMs);
		const text = `done ${id}`;
		res.writeHead(200, {
			'x-apricotdoor-request-id': id, 'x-apricotdoor-response-stamp': `${this.id}.${id}`, 'x-apricotdoor-runner-load': this.#formatLoad(), 'content-length': text.length,
		}).end(text);
	}

	async #answerStream(req, res, id) {
		const {pieces, pieceMs} = this.#options;
		res.writeHead(200, {
			'content-type': 'text/event-stream', 'x-apricotdoor-request-id': id, 'x-apricotdoor-response-stamp': `${this.id}.${id}`,
			'x-apricotdoor-weight-versions': String(this.#version), 'x-apricotdoor-runner-load': this.#formatLoad(),
		});
		for (let piece = Number(req.headers['last-event-id'] ?? 0) + 1; piece <= pieces && !res.destroyed; piece++) {
			await delay(pieceMs);
			res.write(`id: ${piece}\ndata: ${id} ${piece} of ${pieces}\n\n`);
		}

		res.end();
	}
}
