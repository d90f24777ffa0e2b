/** `apricotdoor demo`: runs the example deployment with two routers and stand-ins on loopback, and sends a few requests. */
import {request} from 'undici';
import {startDemoDeployment, type DemoDeployment} from './_demo-deployment.ts';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import type {CommandIo} from './io.ts';
import {createSystemClock} from '#clock';

const demoCustomer = 'utility-north';
const questions = ['How many meters are in batch 17?', 'Which seals does it carry?', 'When was it last calibrated?', 'Where is it now?'];
const movement = {meter: 'M-1', from: 'esbjerg', to: 'kolding'};
const maxStreamLines = 3;

/** Runs the demonstration. The exit code is 0 if every request was answered and the movement was executed once. */
export async function runDemo(io: CommandIo): Promise<ExitCode> {
	const demo = await startDemoDeployment(createSystemClock());
	if (!demo.ok) {
		io.warn(demo.error);
		return exitCodes.failed;
	}

	io.write(`published generation ${demo.value.generation} of examples/malerlagerforening to stand-ins`);
	const hasAllChatAnswers = await sendChats(io, demo.value);
	const hasMovementAnswer = await sendMovement(io, demo.value);
	const executions = demo.value.countExecutions();
	io.write(`the ledger ran ${executions} movement(s)`);
	await demo.value.stop();
	return hasAllChatAnswers && hasMovementAnswer && executions === 1 ? exitCodes.ok : exitCodes.failed;
}

async function sendChats(io: CommandIo, demo: DemoDeployment): Promise<boolean> {
	const preamble = 'You answer stock queries about meter batches. '.repeat(600);
	const dossier = 'Batch 17: 400 meters, sealed, calibrated. '.repeat(400);
	let isEveryChatAnswered = true;
	for (const [index, question] of questions.entries()) {
		const routerIndex = index % demo.routers.length;
		const response = await sendPost(demo, routerIndex, {
			path: '/v1/chat/completions',
			body: {
				model: 'stock-chat', stream: true, max_tokens: 12,
				messages: [{role: 'system', content: preamble}, {role: 'user', content: dossier}, {role: 'user', content: question}],
			},
		});
		isEveryChatAnswered &&= response.text.includes('[DONE]');
		io.write(`router ${routerIndex + 1}: "${question}" -> ${String(response.headers['x-target'])}, ${String(response.headers['x-cached-tokens'])} tokens cached`);
		if (index === 0) {
			io.write(response.text.split('\n').filter(line => line !== '').slice(0, maxStreamLines).join('\n'));
		}
	}

	return isEveryChatAnswered;
}

/** Sends a movement through one router, then again with the same idempotency key through the other. */
async function sendMovement(io: CommandIo, demo: DemoDeployment): Promise<boolean> {
	const demoRequest = {path: '/services/ledger/movements', body: movement, headers: {'idempotency-key': 'demo-movement-1'}};
	const firstResponse = await sendPost(demo, 0, demoRequest);
	io.write(`movement -> ${firstResponse.status} ${firstResponse.text}`);
	const repeatedResponse = await sendPost(demo, 1, demoRequest);
	io.write(`sent again with the same key -> ${repeatedResponse.status} ${repeatedResponse.text}${repeatedResponse.headers['x-replayed'] ? ' (replayed)' : ''}`);
	return firstResponse.status === 200 && repeatedResponse.text === firstResponse.text;
}

type DemoRequest = Readonly<{path: string; body: unknown; headers?: Readonly<Record<string, string>>}>;

async function sendPost(demo: DemoDeployment, routerIndex: number, {path, body, headers = {}}: DemoRequest) {
	const response = await request(`http://${demo.routers[routerIndex]}${path}`, {
		method: 'POST',
		headers: {'content-type': 'application/json', authorization: `Bearer ${demo.getKey(demoCustomer)}`, ...headers},
		body: JSON.stringify(body),
	});
	return {status: response.statusCode, headers: response.headers, text: await response.body.text()};
}
