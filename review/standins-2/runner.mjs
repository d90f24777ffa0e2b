/**
 * A stand-in of a runner, as PROTOCOL.md tells it: a plain service that works for
 * some milliseconds on each request, or an engine that answers with a stream. It
 * registers itself in the store. A crash resets all its connections; the runner is
 * back after a time, as a new boot with a new id at the same address.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Time for which an entry stays after its runner has fallen silent, in milliseconds: three pings. */
const lapseMs = 3600;

/** Age of what a report tells, and time to load weights if a case does not set it, in milliseconds. */
const reportLagMs = 250;
const defaultLoadMs = 760;

let started = 0;

export class Runner {
	/** Requests that reached the runner, without the system's own calls: `{atMs, id, path, headers, body}`. */
	arrivals = [];
	/** Orders that reached the runner: `{atMs, holder, fence, version, status}`. */
	orders = [];
	/** Times of crashes, in milliseconds. */
	crashes = [];
	#options;
	#store;
	#server;
	#sockets = new Set();
	#port = 0;
	#bornMs = 0;
	#id = '';
	#epoch = 0;
	#isUp = false;
	#isClosed = false;
	#running = 0;
	#version = 1;
	#seq = 0;
	#isBusy = false;
	/** Past reports, as a report tells the state of some hundred milliseconds ago: `{atMs, report}`. */
	#reports = [];
	#timers = new Set();

	/**
	 * @param options `{service, zone, slots, model, version, loadMs, handle(run)}`; `version` is that of its software; `handle` answers one request, see {@link Runner.#run}
	 */
	constructor(store, options) {
		this.#store = store;
		this.#options = options;
	}

	get id() {
		return this.#id;
	}

	/** Version of the weights. */
	get version() {
		return this.#version;
	}

	get running() {
		return this.#running;
	}

	async start() {
		this.#epoch++;
		this.#id = `i-${(++started).toString(16).padStart(4, '0')}-${this.#options.service}`;
		this.#server = createServer({keepAliveTimeout: 30_000}, (req, res) => {
			this.#handle(req, res);
		});
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
			socket.on('error', () => undefined);
		});
		await new Promise(resolve => {
			this.#server.listen(this.#port, '127.0.0.1', resolve);
		});
		this.#port = this.#server.address().port;
		this.#isUp = true;
		this.#seq = 0;
		this.#isBusy = false;
		this.#bornMs = Date.now();
		this.#reports = [];
		this.#noteReport();
		this.#register();
	}

	#register() {
		const {service, zone, slots, model, version = 'v1'} = this.#options;
		this.#store.put('servers', this.#id, {
			Service: service, Address: `127.0.0.1:${this.#port}`, Zone: zone, Version: version, Slots: slots, State: 'ready', ColdLeftMs: 0, Seq: 1, born: this.#bornMs,
			...(model && {Stage: 'both', Models: this.#listModels()}),
		});
	}

	#listModels() {
		const {model} = this.#options;
		return model ? [{Name: model, Version: this.#version, Adapters: []}] : [];
	}

	#noteReport() {
		const report = {
			born: this.#bornMs, Stage: 'both', Models: this.#listModels(), Busy: this.#isBusy, Seq: this.#seq, Waiting: 0, Running: this.#running, KvUsed: 0, KvTotal: 262_053, Handles: 0,
		};
		this.#reports.push({atMs: performance.now(), report});
	}

	#getReport() {
		const untilMs = performance.now() - reportLagMs;
		return (this.#reports.findLast(({atMs}) => atMs <= untilMs) ?? this.#reports[0]).report;
	}

	/** Takes an order to load a version; fences are not checked. Returns the status. */
	#takeOrder({Op: op, Version: version, Precondition: precondition, Holder: holder, Fence: fence}) {
		if (op !== 'Version' || holder === undefined || fence === undefined) {
			return 400;
		}

		if (version === this.#version && !this.#isBusy) {
			return 200;
		}

		if (this.#isBusy || (precondition !== undefined && precondition !== this.#seq)) {
			return 409;
		}

		this.#isBusy = true;
		this.#seq++;
		this.#noteReport();
		const epoch = this.#epoch;
		this.#setTimer(() => {
			if (epoch === this.#epoch) {
				this.#isBusy = false;
				this.#version = version;
				this.#noteReport();
				this.#register();
			}
		}, this.#options.loadMs ?? defaultLoadMs);
		return 202;
	}

	/** Crashes; the runner is back after `downMs`. */
	crash(downMs) {
		if (!this.#isUp) {
			return;
		}

		const id = this.#id;
		this.crashes.push(performance.now());
		this.#end();
		this.#setTimer(() => {
			this.#store.remove('servers', id);
		}, lapseMs);
		this.#setTimer(() => {
			this.start();
		}, downMs);
	}

	/** Ends the process: resets all its connections. */
	#end() {
		this.#isUp = false;
		this.#running = 0;
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	close() {
		this.#isClosed = true;
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		this.#server.close();
		this.#server.closeAllConnections();
	}

	#setTimer(handler, ms) {
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			if (!this.#isClosed) {
				handler();
			}
		}, ms);
		this.#timers.add(timer);
	}

	async #handle(req, res) {
		const epoch = this.#epoch;
		const parts = [];
		try {
			for await (const part of req) {
				parts.push(part);
			}
		} catch {
			return;
		}

		if (!this.#isUp || epoch !== this.#epoch) {
			return;
		}

		const {pathname} = new URL(req.url, 'http://runner');
		const expected = req.headers['x-apricotdoor-expect-instance'];
		if (expected !== undefined && expected !== this.#id) {
			res.writeHead(421, {...this.#listHeaders(req), 'x-apricotdoor-not-executed': '1', 'content-length': 0});
			res.end();
		} else if (pathname === '/healthz') {
			res.writeHead(200, {'x-apricotdoor-instance-id': this.#id, 'content-length': 0});
			res.end();
		} else if (pathname.startsWith('/api/')) {
			this.#handleCall(pathname, res, Buffer.concat(parts).toString());
		} else {
			await this.#run(req, res, Buffer.concat(parts).toString(), epoch);
		}
	}

	#handleCall(pathname, res, body) {
		if (pathname === '/api/order') {
			const order = JSON.parse(body);
			const status = this.#takeOrder(order);
			this.orders.push({
				atMs: performance.now(), holder: order.Holder, fence: order.Fence, version: order.Version, status,
			});
			this.#options.handleOrder?.(this.#id, this.orders.at(-1));
			res.writeHead(status, {'content-type': 'application/json', 'content-length': 2});
			res.end('{}');
			return;
		}

		const answers = {
			'/api/report': this.#getReport(),
			'/api/kv-events': {
				BootEpoch: this.#epoch, NextToken: 1, Lost: false, Events: [],
			},
			'/api/kv-list': {BootEpoch: this.#epoch, NextToken: 1, Held: []},
		};
		const answer = answers[pathname];
		const text = JSON.stringify(answer ?? {});
		this.#setTimer(() => {
			if (!res.destroyed) {
				res.writeHead(answer ? 200 : 404, {'content-type': 'application/json', 'content-length': text.length});
				res.end(text);
			}
		}, pathname === '/api/kv-events' ? 200 : 1);
	}

	/** Runs one request: `handle` gets the request, waits, answers or crashes the runner. */
	async #run(req, res, body, epoch) {
		const run = {
			atMs: performance.now(), id: req.headers['x-apricotdoor-request-id'] ?? '', path: req.url, headers: req.headers, body, runner: this.#id,
		};
		this.arrivals.push(run);
		if (this.#running >= this.#options.slots * 5) {
			res.writeHead(503, {...this.#listHeaders(req), 'x-apricotdoor-not-executed': '1', 'content-length': 0});
			res.end();
			return;
		}

		this.#running++;
		const isAlive = () => this.#isUp && epoch === this.#epoch && !res.destroyed;
		await this.#options.handle({
			...run, res, isAlive, crash: downMs => this.crash(downMs),
			sleep: async ms => new Promise(resolve => {
				setTimeout(resolve, ms);
			}),
			listHeaders: () => this.#listHeaders(req),
		});
		if (epoch === this.#epoch && this.#running > 0) {
			this.#running--;
		}
	}

	#listHeaders(req) {
		const id = req.headers['x-apricotdoor-request-id'];
		return {
			...(id && {'x-apricotdoor-request-id': id}), 'x-apricotdoor-response-stamp': `${this.#id}.${this.arrivals.length}`,
			'x-apricotdoor-runner-load': `${this.#running},0,${this.#options.slots}`,
		};
	}
}
