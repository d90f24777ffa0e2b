/** All processes are killed at the same moment while runners of two software versions serve; requesters take their streams up again. */
import {runCase, Fleet, sleep} from '../standins-2/fleet.mjs';
import {createDesiredState, createHeaders, keys} from '../standins-2/desired-state.mjs';
import {Runner} from '../standins-2/runner.mjs';
import {Store} from '../standins-2/store.mjs';

const instanceCount = 4;
const zones = ['esbjerg', 'kolding', 'aarhus'];

/** Time for which the runners of both versions serve before the kill, and from the kill to the start of the processes, in milliseconds. */
const calmMs = 8000;
const downMs = 1000;

/** Bounds of the rules: machines are in touch this long after their start; streams that must be taken up for the rule to count. */
const contactMs = 3000;
const minStreams = 12;

/** Streams that requesters take up, their events, the time between these, and the requesters' time limit, in milliseconds. */
const streams = 36;
const events = 40;
const gapMs = 200;
const limitMs = 15_000;

await runCase('review/9/record.txt', async ({record, isTroubled, addCleanup}) => {
	const store = new Store();
	await store.start();
	addCleanup(() => {
		store.close();
	});
	const state = createDesiredState();
	store.put('config', 'main', {
		...state, Routes: [...state.Routes, {
			...state.Routes.find(({Name}) => Name === 'seal-query'), Name: 'batch-audit', PathPrefix: '/audit/', TimeoutMs: limitMs, TargetLatencyMs: 800,
		}],
	});
	const startRunner = async (service, zone, model, version) => {
		const runner = new Runner(store, {
			service, zone, slots: 64, model, version,
			async handle(run) {
				record.write(`run    ${run.id} from event ${Number(run.headers['last-event-id'] ?? 0) + 1} at ${run.runner} (${version})`);
				run.res.writeHead(200, {...run.listHeaders(), 'content-type': 'text/event-stream', 'x-apricotdoor-weight-versions': '1'});
				for (let event = Number(run.headers['last-event-id'] ?? 0) + 1; event <= events && run.isAlive(); event++) {
					await run.sleep(gapMs);
					run.res.write(`id: ${event}\ndata: ${version}\n\n`);
				}

				run.res.end();
			},
		});
		addCleanup(() => {
			runner.close();
		});
		await runner.start();
	};

	for (const zone of zones) {
		await startRunner('sprogtjeneste', zone, 'daka510000', 'v1');
	}

	const fleet = new Fleet();
	addCleanup(async () => fleet.stop());
	await fleet.start(instanceCount, store.address);
	for (const zone of zones) {
		await startRunner('sprogtjeneste', zone, 'daka510000', 'v2');
	}

	record.write('runners of v1 and v2 serve side by side');
	await sleep(calmMs);

	/** Sends a request for a stream; `after` is the last event that the requester has. Returns what came. */
	const send = async (index, instance, {after, resumes, timeoutMs = limitMs} = {}) => {
		const headers = createHeaders({
			'api-key': keys.dune, 'x-apricotdoor-model': 'daka510000', 'x-apricotdoor-token-usage': '868,40',
			'x-apricotdoor-prompt-prefix': `5c1e${index % 10}0a2:341,${(index + 4096).toString(16)}:300`,
			...(after !== undefined && {'last-event-id': String(after), resumes}),
		});
		const id = headers['x-apricotdoor-request-id'];
		record.write(`send   ${id} to ${instance.name}${after === undefined ? '' : `, resumes ${resumes} after event ${after}`}`);
		const answer = await fleet.send(instance, {
			method: 'POST', path: '/audit/1', headers, body: `prompt ${index}`, timeoutMs,
		});
		const ids = [...answer.text.matchAll(/id: (?<id>\d+)\ndata: \S+\n\n/gv)].map(match => Number(match.groups.id));
		const versions = [...new Set([...answer.text.matchAll(/data: (?<version>\S+)/gv)].map(match => match.groups.version))];
		const came = ids.length === 0 ? 'no event' : `events ${ids[0]} to ${ids.at(-1)} of ${versions.join(' and ')}`;
		record.write(`answer ${id} ${answer.status || 'none'} ${answer.end}, ${came} ${answer.status === 503 ? answer.text.slice(0, 80) : ''}`);
		return {
			id, last: ids.at(-1), versions, status: answer.status,
		};
	};

	const begunMs = record.nowMs;
	const begun = Array.from({length: streams}, async (_item, index) => send(index, fleet.instances[index % instanceCount]));
	await sleep(2500);
	if (isTroubled) {
		record.write('all processes are killed');
		await fleet.killAll();
		await sleep(downMs);
		await fleet.restartAll();
		record.write('all instances are ready again');
	} else {
		record.write('all requesters lose their connections');
		fleet.dropConnections();
	}

	const received = await Promise.all(begun);
	await sleep(contactMs + 300);
	const taken = received.filter(({last}) => last !== undefined && last < events);
	const leftMs = Math.floor(begunMs + limitMs - record.nowMs);
	const [resumed, fresh] = await Promise.all([
		Promise.all(taken.map(async ({id, last}, index) => send(index, fleet.instances[index % instanceCount], {after: last, resumes: id, timeoutMs: leftMs}))),
		Promise.all(Array.from({length: streams}, async (_item, index) => send(1000 + index, fleet.instances[index % instanceCount]))),
	]);
	const goneOn = resumed.filter(({last}) => last !== undefined).length;
	const newBegun = fresh.filter(({last}) => last !== undefined).length;
	const mixed = taken.filter(({versions}) => versions.length > 1).length;
	const shareOn = goneOn / taken.length;
	const shareNew = newBegun / streams;
	return {
		isBroken: taken.length >= minStreams && shareOn < shareNew / 2,
		text: `${goneOn} of ${taken.length} streams that requesters took up went on, ${newBegun} of ${streams} new ones began; ${mixed} streams with events of two versions`,
	};
});
