/** Creates the published JSON Schema of service files, which editors use for completion. */
import * as z from 'zod';
import {serviceFileSchema} from './service-file.ts';

/** Creates the text of the schema (JSON Schema 2020-12) from the `zod` schema that the checks use. */
export function createServiceFileSchema(): string {
	const schema = z.toJSONSchema(serviceFileSchema, {io: 'input'});
	return `${JSON.stringify({title: 'Service file of apricotdoor', ...schema}, undefined, '\t')}\n`;
}
