/** Generates the published JSON Schemas and the reference pages for metrics and refusals: `npm run generate`. */
import {mkdir, writeFile} from 'node:fs/promises';
import {makeMetricsPage, makeRefusalsPage} from '../packages/cli/_pages.ts';
import {makeServiceFileSchema} from '#configuration';
import {makeSettingsSchema} from '#node';

async function run(): Promise<void> {
	await mkdir('schemas', {recursive: true});
	await writeFile('schemas/service-file.json', makeServiceFileSchema());
	await writeFile('schemas/settings.json', makeSettingsSchema());
	await writeFile('docs/METRICS.md', makeMetricsPage());
	await writeFile('docs/REFUSALS.md', makeRefusalsPage());
}

void run();
