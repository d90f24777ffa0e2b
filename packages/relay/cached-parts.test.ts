import fc from 'fast-check';
import t from 'tap';
import {CachedParts} from './cached-parts.ts';

t.test('holders are listed newest first, until they count as evicted', async t => {
	const cachedParts = new CachedParts();
	cachedParts.record('s/a', 'e1@1', 0);
	cachedParts.record('s/a', 'e2@1', 5000);
	t.strictSame(cachedParts.listHolders('s/a', 6000), ['e2@1', 'e1@1']);
	t.strictSame(cachedParts.listHolders('s/a', 21_000), ['e2@1']);
	t.notOk(cachedParts.has('s/a', 'e2@1', 26_000));
});

t.test('only parts that were not known before are new for the peers', async t => {
	const cachedParts = new CachedParts();
	cachedParts.recordSent('s/a', 'e1@1', 0);
	cachedParts.recordSent('s/a', 'e1@1', 10);
	cachedParts.record('s/b', 'e1@1', 10);
	cachedParts.recordSent('s/b', 'e1@1', 20);
	t.strictSame(cachedParts.takeNewParts(9), [{key: 's/a', incarnation: 'e1@1'}]);
	t.strictSame(cachedParts.takeNewParts(9), []);
});

t.test('an evicted part is removed, and a stored part that is not known is not added', async t => {
	const cachedParts = new CachedParts();
	cachedParts.recordIfKnown('s/a', 'e1@1', 0);
	t.equal(cachedParts.size, 0);
	cachedParts.record('s/a', 'e1@1', 0);
	cachedParts.remove('s/a', 'e1@1');
	t.strictSame(cachedParts.listHolders('s/a', 0), []);
});

t.test('with many prompts, the number of parts is bounded and the part used last is kept', async t => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.nat(30_000), fc.nat(20)), {minLength: 1, maxLength: 300}), uses => {
		const cachedParts = new CachedParts();
		for (let filler = 0; filler < 19_900; filler++) {
			cachedParts.record(`filler ${filler}`, 'e0@1', 0);
		}

		for (const [part, target] of uses) {
			cachedParts.record(String(part), `e${target}@1`, 1);
		}

		const [part, target] = uses.at(-1)!;
		return cachedParts.size <= 20_000 && cachedParts.has(String(part), `e${target}@1`, 1) && cachedParts.listHolders(String(part), 1).length <= 4;
	}), {seed: 11, numRuns: 20});
});
