import {readFileSync} from 'node:fs';
import t from 'tap';
import {checkFragments} from './check.ts';
import {maxFragmentBytes} from './fragment.ts';
import {createServiceFileSchema} from './json-schema.ts';
import {findNearest} from './find-nearest.ts';

const digest = 'a'.repeat(64);

function createServiceFile() {
	return {
		service: 'stock',
		pools: [
			{
				name: 'language', kind: 'engine', model: 'm', targets: [{name: 'e1', address: '10.0.0.1:1', zone: 'esbjerg'}],
			},
			{name: 'ledger', kind: 'service', targets: [{name: 's1', address: '10.0.0.2:1', zone: 'kolding'}]},
		],
		routes: [{name: 'chat', pool: 'language'}, {name: 'book', pool: 'ledger', calls: [{method: 'POST', path: '/movements', repeatable: false}]}],
		customers: [{
			name: 'installer', keyDigests: [digest], routes: ['chat', 'book'], limit: {requestsPerSecond: 10},
		}],
	};
}

type File = ReturnType<typeof createServiceFile>;

function listFaults(...texts: readonly string[]): readonly string[] {
	const checked = checkFragments(texts.map((text, index) => ({file: `f${index}.json`, text})), 1);
	return checked.ok ? [] : checked.error.map(({file, field, message}) => `${file}: ${field}: ${message}`);
}

/** Each entry adds one fault to a valid file, and states the field and the start of the message that must report it. */
const faultyFiles: ReadonlyArray<readonly [name: string, message: string, addFault: (file: File) => unknown]> = [
	['mistyped key', 'pools.0.targets.0.adress: unknown key; did you mean "address"?', file => {
		Object.assign(file.pools[0]!.targets[0]!, {adress: '10.0.0.1:1'});
	}],
	['missing field', 'customers.0.limit: is missing; add it', file => {
		Reflect.deleteProperty(file.customers[0]!, 'limit');
	}],
	['unknown pool', 'routes.0.pool: no pool is named "langage"; did you mean "language"?', file => {
		file.routes[0]!.pool = 'langage';
	}],
	['unknown route', 'customers.0.routes.0: no route is named "chatt"; did you mean "chat"?', file => {
		file.customers[0]!.routes[0] = 'chatt';
	}],
	['same key for two customers', 'customers.1.keyDigests.0: this key already belongs to a customer in f0.json: customers.0', file => {
		file.customers.push({...file.customers[0]!, name: 'other'});
	}],
	['engine without model', 'pools.0.model: an engine pool needs the model', file => {
		Reflect.deleteProperty(file.pools[0]!, 'model');
	}],
	['call rules for an engine pool', 'routes.1.calls: the pool\'s engines take chats', file => {
		file.routes[1]!.pool = 'language';
	}],
	['same address twice', 'pools.1.targets.0.address: another target in f0.json: pools.0.targets.0.address', file => {
		file.pools[1]!.targets[0]!.address = '10.0.0.1:1';
	}],
	['address that cannot be connected to', 'pools.0.targets.0.address: is not an address to which an instance can connect', file => {
		file.pools[0]!.targets[0]!.address = '0.0.0.0:70000';
	}],
	['promised time longer than the timeout', 'routes.0.firstTokenMs: is longer than timeoutMs', file => {
		Object.assign(file.routes[0]!, {firstTokenMs: 2000, timeoutMs: 1000});
	}],
	['unknown kind of pool', 'pools.0.kind: must be one of: engine, service', file => {
		file.pools[0]!.kind = 'engin';
	}],
	['more loads than targets', 'pools.0.loadsAtOnce: is more than the pool has targets', file => {
		Object.assign(file.pools[0]!, {loadsAtOnce: 2});
	}],
];

for (const [name, message, addFault] of faultyFiles) {
	t.test(name, async t => {
		t.same(listFaults(JSON.stringify(createServiceFile())), []);
		const file = createServiceFile();
		addFault(file);
		const faults = listFaults(JSON.stringify(file));
		t.ok(faults.some(fault => fault.includes(message)), faults.join('\n'));
	});
}

t.test('reports text that is not JSON', async t => {
	t.match(listFaults('{"service": "a",}')[0], /f0\.json: : is not JSON: .*position/v);
});

t.test('refuses deep nesting', async t => {
	t.match(listFaults(`${'['.repeat(40)}${']'.repeat(40)}`)[0], /nested deeper/v);
});

t.test('refuses the same name in two files', async t => {
	const faults = listFaults(JSON.stringify(createServiceFile()), JSON.stringify({service: 'other', routes: [{name: 'chat', pool: 'language'}]}));
	t.match(faults, ['f1.json: routes.0.name: route "chat" is already defined in f0.json: routes.0.name; choose another name']);
});

t.test('accepts 3500 customers in one file', async t => {
	const customers = Array.from({length: 3500}, (_, index) => ({
		...createServiceFile().customers[0]!, name: `customer-${index}`, keyDigests: [index.toString(16).padStart(64, '0')],
	}));
	const text = JSON.stringify({...createServiceFile(), customers});
	t.ok(text.length < maxFragmentBytes);
	t.same(listFaults(text), []);
});

t.test('refuses a file over the maximum size', async t => {
	t.match(listFaults(JSON.stringify({service: 'x'.repeat(maxFragmentBytes)}))[0], /split it/v);
});

t.test('warns of unused pools and routes', async t => {
	const file = createServiceFile();
	file.customers[0]!.routes = ['chat'];
	const checked = checkFragments([{file: 'f', text: JSON.stringify(file)}], 1);
	t.match(checked, {ok: true, value: {warnings: [{field: 'routes.1', message: /no customer may call/v}]}});
});

t.test('finds the most similar name', async t => {
	t.equal(findNearest('adress', ['zone', 'address']), 'address');
	t.equal(findNearest('quota', ['zone', 'address']), undefined);
});

t.test('the published schema is up to date', async t => {
	t.equal(readFileSync('schemas/service-file.json', 'utf8'), createServiceFileSchema());
});
