import {readFileSync} from 'node:fs';
import t from 'tap';
import {createSettingsSchema, formatVariableName, parseSettings} from './settings.ts';

const validSettings = {
	name: 'r1', zone: 'esbjerg', listen: '127.0.0.1:8080', adminListen: '127.0.0.1:8081', platformOrigin: 'http://127.0.0.1:7000',
};

t.test('missing settings get their defaults', async t => {
	t.match(parseSettings(JSON.stringify(validSettings)), {ok: true, value: {maxBodyBytes: 4_194_304, operatorTokenDigests: []}});
});

t.test('an unknown key is rejected with a suggestion', async t => {
	t.match(parseSettings(JSON.stringify({...validSettings, maxBodyByte: 1})), {ok: false, error: [{field: 'maxBodyByte', message: /did you mean "maxBodyBytes"\?/v}]});
});

t.test('a missing key is rejected', async t => {
	const {zone, ...rest} = validSettings;
	t.match(parseSettings(JSON.stringify(rest)), {ok: false, error: [{field: 'zone', message: /is missing/v}]}, zone);
});

t.test('variables override the file', async t => {
	const environment = {[formatVariableName('maxBodyBytes')]: '2048', [formatVariableName('platformToken')]: '12', OTHER: 'x'};
	t.match(parseSettings(JSON.stringify(validSettings), environment), {ok: true, value: {maxBodyBytes: 2048, platformToken: '12'}});
});

t.test('an unknown variable is rejected with a suggestion', async t => {
	t.match(parseSettings(JSON.stringify(validSettings), {APRICOTDOOR_ZON: 'x'}), {ok: false, error: [{field: 'APRICOTDOOR_ZON', message: /did you mean "APRICOTDOOR_ZONE"\?/v}]});
});

t.test('faults do not contain secrets', async t => {
	const parsed = parseSettings(JSON.stringify({...validSettings, operatorTokenDigests: ['plain-token']}));
	t.equal(parsed.ok, false);
	t.notMatch(JSON.stringify(parsed), /plain-token/v);
});

t.test('the published schema is up to date', async t => {
	t.equal(readFileSync('schemas/settings.json', 'utf8'), createSettingsSchema());
});
