import {readFileSync} from 'node:fs';
import t from 'tap';
import {makeSettingsSchema, makeVariableName, parseSettings} from './settings.ts';

const good = {
	name: 'r1', zone: 'esbjerg', listen: '127.0.0.1:8080', adminListen: '127.0.0.1:8081', platformOrigin: 'http://127.0.0.1:7000',
};

t.test('defaults', async t => {
	t.match(parseSettings(JSON.stringify(good)), {ok: true, value: {maxBodyBytes: 4_194_304, operatorTokenDigests: []}});
});

t.test('unknown key', async t => {
	t.match(parseSettings(JSON.stringify({...good, maxBodyByte: 1})), {ok: false, error: [{field: 'maxBodyByte', message: /did you mean "maxBodyBytes"\?/v}]});
});

t.test('missing key', async t => {
	const {zone, ...rest} = good;
	t.match(parseSettings(JSON.stringify(rest)), {ok: false, error: [{field: 'zone', message: /is missing/v}]}, zone);
});

t.test('variables override the file', async t => {
	const environment = {[makeVariableName('maxBodyBytes')]: '2048', [makeVariableName('platformToken')]: '12', OTHER: 'x'};
	t.match(parseSettings(JSON.stringify(good), environment), {ok: true, value: {maxBodyBytes: 2048, platformToken: '12'}});
});

t.test('unknown variable', async t => {
	t.match(parseSettings(JSON.stringify(good), {APRICOTDOOR_ZON: 'x'}), {ok: false, error: [{field: 'APRICOTDOOR_ZON', message: /did you mean "APRICOTDOOR_ZONE"\?/v}]});
});

t.test('faults do not repeat secrets', async t => {
	const parsed = parseSettings(JSON.stringify({...good, operatorTokenDigests: ['plain-token']}));
	t.equal(parsed.ok, false);
	t.notMatch(JSON.stringify(parsed), /plain-token/v);
});

t.test('published schema is current', async t => {
	t.equal(readFileSync('schemas/settings.json', 'utf8'), makeSettingsSchema());
});
