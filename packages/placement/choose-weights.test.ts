import t from 'tap';
import {TargetViews} from './target-views.ts';
import {chooseWeights} from './choose-weights.ts';
import type {LoadReport, TargetPool} from '#core';

const pool: TargetPool = {
	name: 'p', kind: 'engine', model: 'm', weights: 'v2', pieceTokens: 100, checksFencing: true, loadsAtOnce: 1, minLoaded: 1, slots: 4,
	targets: ['e1', 'e2', 'e3'].map((name, index) => ({name, address: `10.0.0.${index}:1`, zone: 'a'})),
};

function chooseFor(weights: Readonly<Record<string, string>>, excluded: readonly string[] = []): string | undefined {
	const views = new TargetViews();
	for (const [name, version] of Object.entries(weights)) {
		const report: LoadReport = {
			incarnation: 'i1', weights: version, running: 0, queued: 0, queuedTokens: 0, prefillTokensPerMs: 8, tokenGapMs: 12,
			ageMs: 0, leaving: false, cacheSequence: 0, loading: false,
		};
		views.applyReport(name, report, 0);
	}

	return chooseWeights({pool, views, excluded: new Set(excluded)});
}

t.test('chooses the configured weights if any engine serves them or has not reported', async t => {
	t.equal(chooseFor({e1: 'v1', e2: 'v1', e3: 'v2'}), 'v2');
	t.equal(chooseFor({e1: 'v1', e2: 'v1'}), 'v2');
});

t.test('otherwise chooses the weights that most engines serve', async t => {
	t.equal(chooseFor({e1: 'v1', e2: 'v0', e3: 'v1'}), 'v1');
	t.equal(chooseFor({e1: 'v1', e2: 'v1', e3: 'v2'}, ['e3']), 'v1');
});
