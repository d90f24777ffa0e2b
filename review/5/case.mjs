/** Two runners of one software version are restarted under the ids that they had, while one machine is frozen; then the third leaves. */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {recordRuns, startDeployment, startTraffic} from '../lib/deployment.mjs';
import {createId, send} from '../lib/requester.mjs';
import {runTrial} from '../lib/trial.mjs';

const calmMs = 8000;

/** DrainMs of the settings, and the time for which a runner that leaves serves beyond that, in milliseconds. */
const drainMs = 2000;
const lingerMs = 100;

/** Time from a runner's first answer that says that it leaves until its entry says so, in milliseconds. */
const entryDelayMs = 500;

const downMs = 100;

/** Times from the restarts until the machine wakes, from then until the streams are judged, and from then until the last runner of that version leaves, in milliseconds. */
const frozenAfterMs = 250;
const gapMs = 2000;
const calmAfterMs = 3000;

/** A stream's number of events and the time between them, in milliseconds. */
const pieces = 80;
const pieceMs = 100;

/** The rule's limits. */
const minTakenUp = 12;
const minShare = 0.5;

await runTrial(path.dirname(fileURLToPath(import.meta.url)), async trial => {
	const {engines, newEngines, routers} = await startDeployment(trial, {
		ledgers: 1, engines: 3, newEngines: 2, engineOptions: {pieces, pieceMs}, configuration: {sealTimeoutMs: 15_000},
	});
	const frozen = routers.at(-1);
	const streams = [];
	const takeUps = [];
	const open = async (router, id, headers) => send(router.front, {
		id, method: 'POST', path: '/seal/1', body: 'prompt', deadlineMs: 14_000, headers: {
			'x-apricotdoor-model': 'm0', 'x-apricotdoor-token-usage': '2368,400', 'x-apricotdoor-prompt-prefix': `5c1e07a2:568,${id}:1800`, ...headers,
		},
	});
	const traffic = startTraffic(trial, 30, async index => {
		const id = createId('new');
		const sentMs = trial.nowMs;
		const router = routers[index % routers.length];
		const answer = await open(router, id, {});
		const event = findLastEvent(answer.text);
		streams.push({sentMs, router, begins: event > 0});
		if (answer.isComplete || event === 0) {
			return {router: router.name, ...answer};
		}

		// As the pages say, the caller takes the stream up at another machine.
		const other = routers[(index + 1) % routers.length];
		const takenUpMs = trial.nowMs;
		const second = await open(other, createId('again'), {'last-event-id': String(event), resumes: id});
		const takeUp = {
			id, event, takenUpMs, router: other, goesOn: findLastEvent(second.text) > event, status: second.status, text: second.text.slice(0, 120), isComplete: second.isComplete,
		};
		takeUps.push(takeUp);
		trial.record('a stream is taken up again', {...takeUp, router: other.name});
		return {router: other.name, takesUp: id, ...second};
	});
	await trial.wait(calmMs);
	const [first, second, last] = engines;
	await leave(trial, [first, second], () => {
		if (trial.hasTrouble) {
			frozen.freeze();
		}
	});
	// Without the disruption they start again under new ids.
	await Promise.all([first, second].map(async runner => runner.restart(downMs, trial.hasTrouble ? runner.id : `${runner.id}b`)));
	await trial.wait(frozenAfterMs);
	frozen.thaw();
	await trial.wait(gapMs);
	const servingFromMs = trial.nowMs;
	await trial.wait(calmAfterMs);
	await leave(trial, [last]);
	last.end();
	last.removeEntry();
	trial.record('a runner has left for good', {runner: last.id});
	await trial.wait(10_000);
	await traffic.stop();
	recordRuns(trial, [...engines, ...newEngines]);
	for (const engine of [...engines, ...newEngines]) {
		trial.record('runs', {runner: engine.id, runs: engine.runs.length, sinceItsRestart: engine.runs.filter(({atMs}) => atMs > servingFromMs).length});
	}

	const judged = takeUps.filter(({takenUpMs, router}) => takenUpMs > servingFromMs && router !== frozen);
	const begun = streams.filter(({sentMs, router}) => sentMs > servingFromMs && router !== frozen);
	const shareGoingOn = judged.filter(({goesOn}) => goesOn).length / judged.length;
	const shareBegun = begun.filter(({begins}) => begins).length / begun.length;
	trial.record('shares', {
		takenUp: judged.length, goOn: shareGoingOn, newStreams: begun.length, begin: shareBegun,
	});
	const [goOn, begin] = [shareGoingOn, shareBegun].map(share => Math.round(share * 100));
	return judged.length >= minTakenUp && shareGoingOn < shareBegun * minShare
		? [`LOST: of ${judged.length} streams that callers take up again, ${goOn} in 100 go on, though two runners of their software version serve; ${begin} in 100 of the new streams begin`]
		: [];
});

/** Has runners say that they leave, and waits for DrainMs and a little longer, after which they end. */
async function leave(trial, runners, handleHalf = () => undefined) {
	for (const runner of runners) {
		runner.sayLeaving();
		trial.record('a runner says that it leaves', {runner: runner.id});
	}

	await trial.wait(entryDelayMs);
	for (const runner of runners) {
		runner.drain();
	}

	await trial.wait(drainMs / 2);
	handleHalf();
	await trial.wait((drainMs / 2) + lingerMs);
}

function findLastEvent(text) {
	return Number([...text.matchAll(/^id: (?<event>\d+)$/gmv)].at(-1)?.groups.event ?? 0);
}
