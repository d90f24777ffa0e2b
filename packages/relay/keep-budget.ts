/**
 * Limits what engines send to a store of KV cache. A store that is given every
 * prompt drops each again before it is asked for, and its link is used up. So the
 * instances divide what lets a store keep a prompt for as long as callers come
 * back to it.
 */
import type {Clock} from '#clock';
import type {KvCacheStore} from '#core';

export type KeepBudgetDependencies = Readonly<{
	clock: Clock;
	/** Counts the instances that share the budget. */
	countInstances: () => number;
}>;

/** Time for which a store should keep a prompt, in milliseconds. */
const retentionMs = 10_000;

/** Time for which an instance may save up its budget, in milliseconds. */
const maxSavedMs = 10_000;

type Account = {tokens: number; refilledMs: number};

export class KeepBudget {
	readonly #dependencies: KeepBudgetDependencies;
	readonly #accounts = new Map<string, Account>();

	constructor(dependencies: KeepBudgetDependencies) {
		this.#dependencies = dependencies;
	}

	/**
	 * Takes the tokens of a prompt from the budget of a store. The budget may be
	 * overdrawn by one prompt, as a single one may exceed all that is saved up.
	 *
	 * @returns whether the store may be given the prompt
	 */
	acquire(store: KvCacheStore, tokens: number): boolean {
		const account = this.#refill(store);
		if (account.tokens <= 0) {
			return false;
		}

		account.tokens -= tokens;
		return true;
	}

	#refill({address, capacityTokens}: KvCacheStore): Account {
		const {clock, countInstances} = this.#dependencies;
		const nowMs = clock.now();
		const tokensPerMs = capacityTokens / retentionMs / Math.max(1, countInstances());
		const account = this.#accounts.get(address) ?? {tokens: tokensPerMs * maxSavedMs, refilledMs: nowMs};
		this.#accounts.set(address, account);
		account.tokens = Math.min(tokensPerMs * maxSavedMs, account.tokens + ((nowMs - account.refilledMs) * tokensPerMs));
		account.refilledMs = nowMs;
		return account;
	}
}
