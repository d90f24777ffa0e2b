import fc from 'fast-check';
import t from 'tap';
import {computeOwnTokens, HeldMemory} from './held-memory.ts';
import {prepareHash, type Prompt} from '#core';

function createPrompt(parts: ReadonlyArray<readonly [string, number]>, maxOutputTokens = 32): Prompt {
	return {
		model: 'm', inputTokens: parts.reduce((sum, [, tokens]) => sum + tokens, 0), maxOutputTokens, parts: parts.map(([key, tokens]) => ({key, tokens})),
	};
}

const prompt = createPrompt([['preamble', 512], ['dossier', 4880], ['own', 6600]]);
const partKeys = ['s/preamble', 's/dossier'];

t.before(prepareHash);

// Guards against memory that looks full because a part is counted for each request that shares it.
t.test('long prompts with the same dossier: shared parts are held once, until the last of the requests ends', async t => {
	const held = new HeldMemory();
	const first = held.add(prompt, partKeys, 0);
	t.equal(held.total, 512 + 4880 + 6640, 'the prompt and the expected output, in blocks of 16 tokens');
	const second = held.add(prompt, partKeys, 2);
	t.equal(held.total, 512 + 4880 + (2 * 6640));
	t.equal(held.sumAhead(1), 512 + 4880 + 6640);
	first(100);
	t.equal(held.total, 512 + 4880 + 6640);
	second(100);
	t.equal(held.total, 0);
	t.equal(held.report(), undefined);
});

// Guards against instances that together fill an engine of which each believes that it has room.
t.test('long prompts through several instances: their memory adds up, and shared parts are held once over all', async t => {
	const [here, there] = [new HeldMemory(), new HeldMemory()];
	there.add(prompt, partKeys, 2);
	here.add(prompt, partKeys, 0);
	const remove = here.addReport(there.report()!);
	t.equal(here.total, 512 + 4880 + (2 * 6640));
	t.equal(here.sumAhead(0), 512 + 4880 + 6640);
	remove();
	t.equal(here.total, 512 + 4880 + 6640);
});

t.test('a request without a stated number of output tokens holds its prompt', async t => {
	t.equal(computeOwnTokens(createPrompt([['a', 10], ['own', 1]], 0), 1), 16);
	t.equal(computeOwnTokens({
		model: 'm', inputTokens: 0, maxOutputTokens: 0, parts: [],
	}, 0), 0);
});

// Guards against memory that is never released, after which an engine would be avoided for good.
t.test('whatever requests and reports come and go, nothing is held after the last one', async t => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.nat(9), fc.nat(3), fc.boolean(), fc.nat(20)), {maxLength: 60}), steps => {
		const held = new HeldMemory();
		const ends: Array<() => void> = [];
		for (const [urgency, part, isPeer, end] of steps) {
			const added = createPrompt([[`p${part}`, 100 * (part + 1)], ['own', 300]]);
			if (isPeer) {
				const peer = new HeldMemory();
				peer.add(added, [`s/p${part}`], urgency);
				ends.push(held.addReport(peer.report()!));
			} else {
				const remove = held.add(added, [`s/p${part}`], urgency);
				ends.push(() => {
					remove(1);
				});
			}

			if (end < ends.length) {
				ends.splice(end, 1)[0]!();
			}
		}

		for (const end of ends) {
			end();
		}

		return held.total === 0 && held.report() === undefined;
	}), {seed: 12, numRuns: 200});
});
