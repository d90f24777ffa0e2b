/** Checks that names, keys and addresses are unique in the whole configuration. */
import type {ConfigurationFault, ParsedFragment} from './fragment.ts';

type Entry = Readonly<{value: string; field: string}>;
type Rule = Readonly<{
	listEntries: (parsed: ParsedFragment) => readonly Entry[];
	/** Formats the fault's message. `firstLocation` is the file and field in which the value was first used. */
	formatMessage: (value: string, firstLocation: string) => string;
}>;

const rules: readonly Rule[] = [
	{
		listEntries: ({service}) => [{value: service.service, field: 'service'}],
		formatMessage: (value, firstLocation) => `service "${value}" is already defined in ${firstLocation}; merge the two files or rename one`,
	},
	{
		listEntries: ({service}) => listNames(service.routes, 'routes'),
		formatMessage: (value, firstLocation) => `route "${value}" is already defined in ${firstLocation}; choose another name`,
	},
	{
		listEntries: ({service}) => listNames(service.pools, 'pools'),
		formatMessage: (value, firstLocation) => `pool "${value}" is already defined in ${firstLocation}; choose another name`,
	},
	{
		listEntries: ({service}) => listNames(service.customers, 'customers'),
		formatMessage: (value, firstLocation) => `customer "${value}" is already defined in ${firstLocation}; choose another name`,
	},
	{
		listEntries: ({service}) => service.customers.flatMap((customer, index) => customer.keyDigests.map((value, keyIndex) => ({value, field: `customers.${index}.keyDigests.${keyIndex}`}))),
		formatMessage: (_value, firstLocation) => `this key already belongs to a customer in ${firstLocation}; give each customer keys of its own`,
	},
	{
		listEntries: ({service}) => service.pools.flatMap((pool, index) => listNames(pool.targets, `pools.${index}.targets`)),
		formatMessage: (value, firstLocation) => `target "${value}" is already defined in ${firstLocation}; choose another name`,
	},
	{
		listEntries: ({service}) => service.pools.flatMap((pool, index) => pool.targets.map(({address}, targetIndex) => ({value: address, field: `pools.${index}.targets.${targetIndex}.address`}))),
		formatMessage: (value, firstLocation) => `another target in ${firstLocation} has the address ${value}; a target belongs to one pool`,
	},
];

/** Finds values that are used more than once. */
export function checkUnique(files: readonly ParsedFragment[]): readonly ConfigurationFault[] {
	const faults: ConfigurationFault[] = [];
	for (const {listEntries, formatMessage} of rules) {
		const firstLocations = new Map<string, string>();
		for (const parsed of files) {
			for (const {value, field} of listEntries(parsed)) {
				const firstLocation = firstLocations.get(value);
				if (firstLocation === undefined) {
					firstLocations.set(value, `${parsed.file}: ${field}`);
				} else {
					faults.push({file: parsed.file, field, message: formatMessage(value, firstLocation)});
				}
			}
		}
	}

	return faults;
}

function listNames(items: ReadonlyArray<Readonly<{name: string}>>, field: string): readonly Entry[] {
	return items.map(({name}, index) => ({value: name, field: `${field}.${index}.name`}));
}
