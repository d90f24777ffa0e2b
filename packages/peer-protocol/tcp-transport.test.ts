import t from 'tap';
import {createTcpTransport} from './tcp-transport.ts';

// Guards against an address in an entry or a record of another writer that the socket refuses with an exception, which ended the instance.
t.test('a connection to what is no address fails', async t => {
	const {signal} = new AbortController();
	for (const address of ['', '127.0.0.1', '127.0.0.1:', '127.0.0.1:70000', '127.0.0.1:x', '::1:80', 'a b:80', `${'a'.repeat(300)}:80`]) {
		t.match(await createTcpTransport().connect(address, signal), {ok: false, error: 'not an address'}, address);
	}
});
