/** `apricotdoor demo`: an example deployment on stand-ins, two routers on loopback, and a few requests. */
import {request} from 'undici';
import {startDemoDeployment, type DemoDeployment} from './_demo-deployment.ts';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import type {CommandIo} from './io.ts';
import {createSystemClock} from '#clock';

const chatCustomer = 'utility-north';
const questions = ['How many meters are in batch 17?', 'Which seals does it carry?', 'When was it last calibrated?', 'Where is it now?'];
const movement = {meter: 'M-1', from: 'esbjerg', to: 'kolding'};
const streamLinesShown = 3;

/** Runs the demonstration; the exit code is 0 when every answer came and the movement ran once. */
export async function runDemo(io: CommandIo): Promise<ExitCode> {
	const demo = await startDemoDeployment(createSystemClock());
	if (!demo.ok) {
		io.warn(demo.error);
		return exitCodes.failed;
	}

	io.write(`published generation ${demo.value.generation} of examples/malerlagerforening to stand-ins`);
	const chatsAnswered = await sendChats(io, demo.value);
	const movementAnswered = await sendMovement(io, demo.value);
	const executions = demo.value.countExecutions();
	io.write(`the ledger ran ${executions} movement(s)`);
	await demo.value.stop();
	return chatsAnswered && movementAnswered && executions === 1 ? exitCodes.ok : exitCodes.failed;
}

async function sendChats(io: CommandIo, demo: DemoDeployment): Promise<boolean> {
	const preamble = 'You answer stock queries about meter batches. '.repeat(600);
	const dossier = 'Batch 17: 400 meters, sealed, calibrated. '.repeat(400);
	let answered = true;
	for (const [index, question] of questions.entries()) {
		const router = index % demo.routers.length;
		const answer = await post(demo, router, {
			path: '/v1/chat/completions',
			body: {
				model: 'stock-chat', stream: true, max_tokens: 12,
				messages: [{role: 'system', content: preamble}, {role: 'user', content: dossier}, {role: 'user', content: question}],
			},
		});
		answered &&= answer.text.includes('[DONE]');
		io.write(`router ${router + 1}: "${question}" -> ${String(answer.headers['x-target'])}, ${String(answer.headers['x-cached-tokens'])} tokens cached`);
		if (index === 0) {
			io.write(answer.text.split('\n').filter(line => line !== '').slice(0, streamLinesShown).join('\n'));
		}
	}

	return answered;
}

/** Sends one movement, and sends it again with the same key through the other router. */
async function sendMovement(io: CommandIo, demo: DemoDeployment): Promise<boolean> {
	const call = {path: '/services/ledger/movements', body: movement, headers: {'idempotency-key': 'demo-movement-1'}};
	const first = await post(demo, 0, call);
	io.write(`movement -> ${first.status} ${first.text}`);
	const again = await post(demo, 1, call);
	io.write(`sent again with the same key -> ${again.status} ${again.text}${again.headers['x-replayed'] ? ' (replayed)' : ''}`);
	return first.status === 200 && again.text === first.text;
}

type DemoCall = Readonly<{path: string; body: unknown; headers?: Readonly<Record<string, string>>}>;

async function post(demo: DemoDeployment, router: number, {path, body, headers = {}}: DemoCall) {
	const answer = await request(`http://${demo.routers[router]}${path}`, {
		method: 'POST',
		headers: {'content-type': 'application/json', authorization: `Bearer ${demo.getKey(chatCustomer)}`, ...headers},
		body: JSON.stringify(body),
	});
	return {status: answer.statusCode, headers: answer.headers, text: await answer.body.text()};
}
