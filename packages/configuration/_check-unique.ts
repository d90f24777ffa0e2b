/** Names, keys and addresses that may stand only once in the whole configuration. */
import type {ConfigurationFault, ParsedFragment} from './fragment.ts';

type Entry = Readonly<{value: string; field: string}>;
type Rule = Readonly<{
	list: (parsed: ParsedFragment) => readonly Entry[];
	/** Words the mend. */
	word: (value: string, first: string) => string;
}>;

const rules: readonly Rule[] = [
	{
		list: ({service}) => [{value: service.service, field: 'service'}],
		word: (value, first) => `service "${value}" stands in ${first} too; merge the two files or rename one`,
	},
	{
		list: ({service}) => listNames(service.routes, 'routes'),
		word: (value, first) => `route "${value}" is already defined in ${first}; choose another name`,
	},
	{
		list: ({service}) => listNames(service.pools, 'pools'),
		word: (value, first) => `pool "${value}" is already defined in ${first}; choose another name`,
	},
	{
		list: ({service}) => listNames(service.customers, 'customers'),
		word: (value, first) => `customer "${value}" is already defined in ${first}; choose another name`,
	},
	{
		list: ({service}) => service.customers.flatMap((customer, at) => customer.keyDigests.map((value, place) => ({value, field: `customers.${at}.keyDigests.${place}`}))),
		word: (_value, first) => `this key already belongs to a customer in ${first}; give each customer keys of its own`,
	},
	{
		list: ({service}) => service.pools.flatMap((pool, at) => listNames(pool.targets, `pools.${at}.targets`)),
		word: (value, first) => `target "${value}" is already defined in ${first}; choose another name`,
	},
	{
		list: ({service}) => service.pools.flatMap((pool, at) => pool.targets.map(({address}, place) => ({value: address, field: `pools.${at}.targets.${place}.address`}))),
		word: (value, first) => `another target in ${first} has the address ${value}; a target belongs to one pool`,
	},
];

/** Finds what stands more than once. */
export function checkUnique(files: readonly ParsedFragment[]): readonly ConfigurationFault[] {
	const faults: ConfigurationFault[] = [];
	for (const {list, word} of rules) {
		const firsts = new Map<string, string>();
		for (const parsed of files) {
			for (const {value, field} of list(parsed)) {
				const first = firsts.get(value);
				if (first === undefined) {
					firsts.set(value, `${parsed.file}: ${field}`);
				} else {
					faults.push({file: parsed.file, field, message: word(value, first)});
				}
			}
		}
	}

	return faults;
}

function listNames(items: ReadonlyArray<Readonly<{name: string}>>, field: string): readonly Entry[] {
	return items.map(({name}, index) => ({value: name, field: `${field}.${index}.name`}));
}
