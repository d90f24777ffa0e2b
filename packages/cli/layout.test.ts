import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import t from 'tap';

/** Layers of packages from the core outwards, as in docs/STYLE.md. A package imports only from layers before its own. */
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

/** Finds imports from the same layer, from a later layer, and from another package's files other than its `mod.ts`. */
function findForbiddenImports(name: string, text: string): readonly string[] {
	const ownLayer = layers.findIndex(layer => layer.includes(name));
	const imports = [...text.matchAll(/from '(?<from>[#.][^']+)'/gv)].map(match => match.groups!.from!);
	return imports.filter(from => {
		if (from.startsWith('.')) {
			return from.startsWith('../') && !from.endsWith('.json');
		}

		const importedLayer = layers.findIndex(layer => layer.includes(from.slice(1)));
		return importedLayer === -1 || importedLayer >= ownLayer;
	});
}

t.test('the check finds forbidden imports', async t => {
	t.same(findForbiddenImports('clock', 'import {a} from \'#core\';'), []);
	t.same(findForbiddenImports('clock', 'import {a} from \'#node\';'), ['#node']);
	t.same(findForbiddenImports('admin', 'import {a} from \'#entry\';'), ['#entry']);
	t.same(findForbiddenImports('admin', 'import {a} from \'../core/hash.ts\';'), ['../core/hash.ts']);
	t.same(findForbiddenImports('admin', 'import {a} from \'#core/hash.ts\';'), ['#core/hash.ts']);
});

t.test('every package belongs to a layer', async t => {
	t.same(readdirSync('packages').toSorted((a, b) => a.localeCompare(b)), layers.flat().toSorted((a, b) => a.localeCompare(b)));
});

t.test('packages import only the mod.ts of packages in earlier layers', async t => {
	for (const name of layers.flat()) {
		const directory = path.join('packages', name);
		for (const file of readdirSync(directory).filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts'))) {
			t.same(findForbiddenImports(name, readFileSync(path.join(directory, file), 'utf8')), [], `${name}/${file}`);
		}
	}
});
