import t from 'tap';
import {runScenario} from './run.ts';
import {prepareHash} from '#core';

t.before(prepareHash);

async function runAndDescribe(text: string): Promise<string> {
	const result = await runScenario('x', text);
	return result.ok ? 'no failure' : `${result.error.line}: ${result.error.message}`;
}

t.test('an unknown step names the line and the steps', async t => {
	t.match(await runAndDescribe('\n# comment\nfly away'), /^3: there is no step "fly"; the steps are: seed, pool/v);
});

t.test('an open quotation mark is refused', async t => {
	t.equal(await runAndDescribe('chat A r1 "hello'), '1: a quotation mark is not closed');
});

t.test('an unknown name lists the known ones', async t => {
	t.equal(await runAndDescribe('fault engine e9 crash'), '1: no engine is named "e9"; there are: none');
});

t.test('a bad time says how to write one', async t => {
	t.equal(await runAndDescribe('wait soon'), '1: "soon" is not a time; write it like 500ms, 3s or 2min');
});

const setup = `
pool language model=m weights=v1
engine e1 e2 pool=language
route chat pool=language timeout=10s
customer installer routes=chat
publish
start r1
ready r1
`;

t.test('a failed expectation says what was found', async t => {
	t.match(await runAndDescribe(`${setup}chat A r1 "hi"\nuntil A done within=5s\nexpect A refused`), /^11: expected A refused: it is answered after \d+ bytes$/v);
});

t.test('a figure outside its bound says its value', async t => {
	t.equal(await runAndDescribe(`${setup}figure crashes least=1`), '9: crashes is 0');
});

t.test('a killed router cuts its calls and sends nothing more', async t => {
	t.equal(await runAndDescribe(`${setup}chat A r1 "hi"\nwait 50ms\nkill r1\nexpect A cut\nfigure runs e1 most=1`), 'no failure');
});
