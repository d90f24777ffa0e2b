/** Generates the published JSON Schemas and the reference pages for metrics and refusals: `npm run generate`. */
import {mkdir, writeFile} from 'node:fs/promises';
import {renderMetricsPage, renderRefusalsPage} from '../packages/cli/_pages.ts';
import {createServiceFileSchema} from '#configuration';
import {createSettingsSchema} from '#node';

async function run(): Promise<void> {
	await mkdir('schemas', {recursive: true});
	await writeFile('schemas/service-file.json', createServiceFileSchema());
	await writeFile('schemas/settings.json', createSettingsSchema());
	await writeFile('docs/METRICS.md', renderMetricsPage());
	await writeFile('docs/REFUSALS.md', renderRefusalsPage());
}

void run();
