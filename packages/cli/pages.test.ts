import {readFileSync} from 'node:fs';
import t from 'tap';
import {renderMetricsPage, renderRefusalsPage} from './_pages.ts';

t.test('docs/METRICS.md is up to date', async t => {
	t.equal(readFileSync('docs/METRICS.md', 'utf8'), renderMetricsPage(), 'run `npm run generate`');
});

t.test('docs/REFUSALS.md is up to date', async t => {
	t.equal(readFileSync('docs/REFUSALS.md', 'utf8'), renderRefusalsPage(), 'run `npm run generate`');
});
