import t from 'tap';
import fc from 'fast-check';
import {KeyRates} from './key-rates.ts';

t.test('measures a steady rate', async t => {
	const rates = new KeyRates();
	for (let atMs = 0; atMs < 60_000; atMs += 100) {
		rates.add('k', atMs);
	}

	t.ok(Math.abs(rates.get('k', 60_000) - 10) < 0.5);
});

t.test('keeps most of the rate during a pause', async () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 500}), {minLength: 1, maxLength: 100}), fc.integer({min: 0, max: 6000}), (gaps, pauseMs) => {
		const rates = new KeyRates();
		let atMs = 0;
		for (const gapMs of gaps) {
			atMs += gapMs;
			rates.add('k', atMs);
		}

		return rates.get('k', atMs + pauseMs) >= rates.get('k', atMs) * 0.9;
	}), {seed: 51});
});

t.test('decays to zero for a key that is no longer requested', async t => {
	const rates = new KeyRates();
	rates.add('k', 0);
	t.ok(rates.get('k', 600_000) < 0.001);
});

t.test('keeps at most the configured number of keys', async t => {
	const rates = new KeyRates({maxKeys: 100});
	for (let index = 0; index < 1000; index++) {
		rates.add(`k${index}`, index);
	}

	t.equal(rates.size, 100);
	t.ok(rates.get('k999', 1000) > 0);
});
