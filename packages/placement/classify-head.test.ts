import t from 'tap';
import {classifyHead} from './classify-head.ts';

const placement = {incarnation: 'i1', weights: 'v1', hasAlternative: true};
const head = {incarnation: 'i1', weights: 'v1', cachedTokens: 0};
const context = {known: 'i1', mayRepeat: true};

t.test('trusts an answer that states what was assumed', async t => {
	t.equal(classifyHead(placement, head, context), 'trust');
	t.equal(classifyHead({...placement, incarnation: ''}, head, {...context, known: ''}), 'trust');
});

t.test('keeps answers of other incarnations out of the cache knowledge', async t => {
	t.equal(classifyHead(placement, {...head, incarnation: 'i2'}, context), 'notForCache');
	t.equal(classifyHead(placement, head, {...context, known: 'i2'}), 'notForCache');
	t.equal(classifyHead(placement, {...head, incarnation: 'i2'}, {...context, known: 'i2'}), 'trust');
});

t.test('places again what other weights answered', async t => {
	const other = {...head, weights: 'v0'};
	t.equal(classifyHead(placement, other, context), 'placeAgain');
	t.equal(classifyHead(placement, other, {...context, mayRepeat: false}), 'notForCache');
	t.equal(classifyHead({...placement, hasAlternative: false}, other, context), 'notForCache');
});
