/** Writes the published JSON Schemas: `npm run generate`. */
import {mkdir, writeFile} from 'node:fs/promises';
import {makeServiceFileSchema} from '#configuration';
import {makeSettingsSchema} from '#node';

async function run(): Promise<void> {
	await mkdir('schemas', {recursive: true});
	await writeFile('schemas/service-file.json', makeServiceFileSchema());
	await writeFile('schemas/settings.json', makeSettingsSchema());
}

void run();
