import assert from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import {Client} from 'undici';
import {formatAddress, normalizeAddress, parseAddress} from './address.ts';

t.test('addresses are read in one spelling', async t => {
	const ip4 = [['10.1.64.3:8080', '10.1.64.3:8080'], ['10.1.64.3:08080', '10.1.64.3:8080']] as const;
	const ip6 = [['[::1]:8080', '[::1]:8080'], ['[0:0:0:0:0:0:0:1]:8080', '[::1]:8080'], ['[2001:DB8::1]:1', '[2001:db8::1]:1']] as const;
	const names = [['Runner-7.Example:80', 'runner-7.example:80'], ['localhost:65535', 'localhost:65535']] as const;
	for (const [text, normalized] of [...ip4, ...ip6, ...names]) {
		t.equal(normalizeAddress(text), normalized, text);
	}

	t.match(parseAddress('[::1]:80'), {host: '::1', port: 80});
});

t.test('what is no address is none', async t => {
	const oddPorts = ['', ':', ':8080', 'host', 'host:', '10.1.64.3', '10.1.64.3:0', '10.1.64.3:70000', '10.1.64.3:-1', '10.1.64.3:8e3', '10.1.64.3:80 80', '10.1.64.3:80\n', '[::1]'];
	const oddAddresses = ['10.1.64.256:80', '10.1.64:80', '1:80', '0x7f.1:80', 'a.0x1:80', '::1:8080', '[::1:80', '[::g]:80', '[fe80::1%eth0]:80', '[]:80'];
	const oddNames = [' a:80', 'a b:80', 'a/b:80', 'a@b:80', 'a#b:80', 'http://a:80', 'xn--a:80', '-a:80', 'a-:80', 'a..b:80', 'ä:80', `${'a'.repeat(64)}:80`, `${'a.'.repeat(200)}a:80`, '\u{0}:80'];
	for (const text of [...oddPorts, ...oddAddresses, ...oddNames]) {
		t.equal(parseAddress(text), undefined, JSON.stringify(text));
	}
});

t.test('the client for HTTP takes every address that is one', async t => {
	let addresses = 0;
	const hosts = fc.oneof(fc.ipV4Extended(), fc.ipV6().map(host => `[${host}]`), fc.domain(), fc.string({unit: 'binary'}));
	const texts = fc.oneof(
		fc.tuple(hosts, fc.integer({min: -1, max: 70_000})).map(([host, port]) => `${host}:${port}`),
		fc.string({unit: 'binary'}),
	);
	fc.assert(fc.property(texts, text => {
		const normalized = normalizeAddress(text);
		if (normalized === undefined) {
			return;
		}

		addresses++;
		void new Client(`http://${normalized}`).destroy();
		assert.equal(normalizeAddress(normalized), normalized);
		assert.equal(formatAddress(parseAddress(normalized)!), normalized);
	}), {seed: 31, numRuns: 500});
	t.ok(addresses > 50, `${addresses} addresses`);
});
