import t from 'tap';
import {classifyHead} from './classify-head.ts';

const placement = {incarnation: 'i1', weights: 'v1', hasAlternative: true};
const head = {incarnation: 'i1', weights: 'v1', cachedTokens: 0};
const context = {currentIncarnation: 'i1', canRepeat: true};

t.test('trusts an answer with the assumed incarnation and weights', async t => {
	t.equal(classifyHead(placement, head, context), 'trust');
	t.equal(classifyHead({...placement, incarnation: ''}, head, {...context, currentIncarnation: ''}), 'trust');
});

t.test('records no cached keys from an answer of another incarnation', async t => {
	t.equal(classifyHead(placement, {...head, incarnation: 'i2'}, context), 'notForCache');
	t.equal(classifyHead(placement, head, {...context, currentIncarnation: 'i2'}), 'notForCache');
	t.equal(classifyHead(placement, {...head, incarnation: 'i2'}, {...context, currentIncarnation: 'i2'}), 'trust');
});

t.test('places a request again if other weights answered it, and only if that is possible', async t => {
	const other = {...head, weights: 'v0'};
	t.equal(classifyHead(placement, other, context), 'placeAgain');
	t.equal(classifyHead(placement, other, {...context, canRepeat: false}), 'notForCache');
	t.equal(classifyHead({...placement, hasAlternative: false}, other, context), 'notForCache');
});
