/** The published JSON Schema of service files, which editors use for completion. */
import * as z from 'zod';
import {serviceFileSchema} from './service-file.ts';

/** Generates the schema (JSON Schema 2020-12) from the definition that the checks use. */
export function makeServiceFileSchema(): string {
	const schema = z.toJSONSchema(serviceFileSchema, {io: 'input'});
	return `${JSON.stringify({title: 'Service file of apricotdoor', ...schema}, undefined, '\t')}\n`;
}
