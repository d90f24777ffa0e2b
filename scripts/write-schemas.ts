/** Writes the published JSON Schemas: `npm run generate`. */
import {mkdir, writeFile} from 'node:fs/promises';
import {makeServiceFileSchema} from '#configuration';

async function run(): Promise<void> {
	await mkdir('schemas', {recursive: true});
	await writeFile('schemas/service-file.json', makeServiceFileSchema());
}

void run();
