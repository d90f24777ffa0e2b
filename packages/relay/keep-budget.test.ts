/** More prompts than a store of KV cache can keep until they are asked for again. */
import t from 'tap';
import {KeepBudget} from './keep-budget.ts';
import {ManualClock} from '#clock';
import type {KvCacheStore} from '#core';

const store: KvCacheStore = {address: '10.0.0.9:1', zone: 'a', capacityTokens: 4_800_000};
const promptTokens = 12_000;

// Guards against a store that drops each prompt again within seconds, and whose link is used up by what it is given.
t.test('all instances together give a store no more in ten seconds than it holds', async t => {
	for (const instanceCount of [1, 16, 195]) {
		const clock = new ManualClock();
		const budgets = Array.from({length: instanceCount}, () => new KeepBudget({clock, countInstances: () => instanceCount}));
		const play = async () => {
			let kept = 0;
			for (let request = 0; request < 2000; request++) {
				kept += budgets[request % instanceCount]!.acquire(store, promptTokens) ? promptTokens : 0;
				await clock.advance(5);
			}

			return kept;
		};

		await play();
		const kept = await play();
		t.ok(kept <= (store.capacityTokens * 1.1) + (instanceCount * promptTokens), `${instanceCount} instances: ${kept} tokens in 10 s`);
		t.ok(kept >= store.capacityTokens * 0.9, `${instanceCount} instances use the budget`);
	}
});

t.test('a prompt that is larger than the share of an instance is kept, and the next ones wait', async t => {
	const clock = new ManualClock();
	const budget = new KeepBudget({clock, countInstances: () => 400});
	t.ok(budget.acquire(store, 60_000));
	t.notOk(budget.acquire(store, 1));
	await clock.advance(30_000);
	t.notOk(budget.acquire(store, 1), 'it has not been paid off');
	await clock.advance(11_000);
	t.ok(budget.acquire(store, 1));
});
