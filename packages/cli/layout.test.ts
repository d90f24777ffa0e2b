import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import t from 'tap';

/** Packages from the core outwards, as docs/STYLE.md has them: each imports only from lists before its own. */
const layers: ReadonlyArray<readonly string[]> = [
	['core'],
	['clock', 'http'],
	['telemetry'],
	['targets', 'object-store', 'peer-protocol'],
	['membership', 'configuration', 'mirror', 'routing', 'lease'],
	['placement', 'admission', 'claims', 'quarantine', 'capacity'],
	['dispatch'],
	['relay'],
	['rollout'],
	['entry', 'admin', 'gateway'],
	['node'],
	['standins', 'load'],
	['scenario', 'cli'],
];

/** Imports that go against the layers or behind a front door. */
function findFaults(name: string, text: string): readonly string[] {
	const own = layers.findIndex(layer => layer.includes(name));
	const imports = [...text.matchAll(/from '(?<from>[#.][^']+)'/gv)].map(match => match.groups!.from!);
	return imports.filter(from => {
		if (from.startsWith('.')) {
			return from.startsWith('../') && !from.endsWith('.json');
		}

		const other = layers.findIndex(layer => layer.includes(from.slice(1)));
		return other === -1 || other >= own;
	});
}

t.test('the check finds what it should', async t => {
	t.same(findFaults('clock', 'import {a} from \'#core\';'), []);
	t.same(findFaults('clock', 'import {a} from \'#node\';'), ['#node']);
	t.same(findFaults('admin', 'import {a} from \'#entry\';'), ['#entry']);
	t.same(findFaults('admin', 'import {a} from \'../core/hash.ts\';'), ['../core/hash.ts']);
	t.same(findFaults('admin', 'import {a} from \'#core/hash.ts\';'), ['#core/hash.ts']);
});

t.test('every package has its layer', async t => {
	t.same(readdirSync('packages').toSorted((a, b) => a.localeCompare(b)), layers.flat().toSorted((a, b) => a.localeCompare(b)));
});

t.test('packages import in one direction, through front doors', async t => {
	for (const name of layers.flat()) {
		const dir = path.join('packages', name);
		for (const file of readdirSync(dir).filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts'))) {
			t.same(findFaults(name, readFileSync(path.join(dir, file), 'utf8')), [], `${name}/${file}`);
		}
	}
});
