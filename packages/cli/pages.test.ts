import {readFileSync} from 'node:fs';
import t from 'tap';
import {makeMetricsPage, makeRefusalsPage} from './_pages.ts';

t.test('docs/METRICS.md is up to date', async t => {
	t.equal(readFileSync('docs/METRICS.md', 'utf8'), makeMetricsPage(), 'run `npm run generate`');
});

t.test('docs/REFUSALS.md is up to date', async t => {
	t.equal(readFileSync('docs/REFUSALS.md', 'utf8'), makeRefusalsPage(), 'run `npm run generate`');
});
