import t from 'tap';
import fc from 'fast-check';
import {createChain} from './chain.ts';
import {prepareHash} from '#core';

const seed = {customer: 'a', model: 'm', weights: 'v1'};
const messages = fc.array(fc.record({role: fc.constantFrom('system', 'user'), content: fc.string({maxLength: 200})}), {minLength: 1, maxLength: 5});

t.before(prepareHash);

t.test('prompts with the same opening have the same keys for it', async () => {
	fc.assert(fc.property(messages, messages, messages, (opening, a, b) => {
		const left = createChain(seed, [...opening, ...a], 16);
		const right = createChain(seed, [...opening, ...b], 16);
		const shared = createChain(seed, opening, 16).keys;
		for (const [index, key] of shared.entries()) {
			if (left.keys[index] !== key || right.keys[index] !== key) {
				return false;
			}
		}

		return true;
	}), {seed: 11});
});

t.test('no key matches across customers, models or weights', async () => {
	fc.assert(fc.property(messages, fc.constantFrom('customer', 'model', 'weights'), (list, field) => {
		const own = new Set(createChain(seed, list, 16).keys);
		return createChain({...seed, [field]: 'other'}, list, 16).keys.every(key => !own.has(key));
	}), {seed: 12});
});

t.test('a change in any message changes the last key', async () => {
	fc.assert(fc.property(messages, fc.nat(), (list, number) => {
		const index = number % list.length;
		const changed = list.map((message, at) => at === index ? {...message, content: `${message.content}x`} : message);
		const before = createChain(seed, list, 16);
		const after = createChain(seed, changed, 16);
		return before.keys.at(-1) !== after.keys.at(-1);
	}), {seed: 13});
});
