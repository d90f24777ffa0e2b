import fc from 'fast-check';
import t from 'tap';
import {PlacedParts} from './placed-parts.ts';

t.test('holders are listed newest first, until they count as evicted', async t => {
	const placed = new PlacedParts();
	placed.note('s/a', 'e1@1', 0);
	placed.note('s/a', 'e2@1', 5000);
	t.strictSame(placed.listHolders('s/a', 6000), ['e2@1', 'e1@1']);
	t.strictSame(placed.listHolders('s/a', 21_000), ['e2@1']);
	t.notOk(placed.has('s/a', 'e2@1', 26_000));
});

t.test('only what the peers cannot know is news', async t => {
	const placed = new PlacedParts();
	placed.place('s/a', 'e1@1', 0);
	placed.place('s/a', 'e1@1', 10);
	placed.note('s/b', 'e1@1', 10);
	placed.place('s/b', 'e1@1', 20);
	t.strictSame(placed.takeNews(9), [{key: 's/a', incarnation: 'e1@1'}]);
	t.strictSame(placed.takeNews(9), []);
});

t.test('an eviction is forgotten, and a part that nobody asked for is not learned', async t => {
	const placed = new PlacedParts();
	placed.confirm('s/a', 'e1@1', 0);
	t.equal(placed.size, 0);
	placed.note('s/a', 'e1@1', 0);
	placed.forget('s/a', 'e1@1');
	t.strictSame(placed.listHolders('s/a', 0), []);
});

t.test('many prompts: what is kept is bounded, and the part used last is there', async t => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.nat(30_000), fc.nat(20)), {minLength: 1, maxLength: 300}), uses => {
		const placed = new PlacedParts();
		for (let filler = 0; filler < 19_900; filler++) {
			placed.note(`filler ${filler}`, 'e0@1', 0);
		}

		for (const [part, target] of uses) {
			placed.note(String(part), `e${target}@1`, 1);
		}

		const [part, target] = uses.at(-1)!;
		return placed.size <= 20_000 && placed.has(String(part), `e${target}@1`, 1) && placed.listHolders(String(part), 1).length <= 4;
	}), {seed: 11, numRuns: 20});
});
