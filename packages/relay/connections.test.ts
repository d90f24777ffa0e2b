import t from 'tap';
import {TargetConnections} from './connections.ts';
import {ManualClock} from '#clock';

// Guards against connections that count as open for good and take all that a target accepts.
t.test('a request that cannot be sent leaves no connection', async t => {
	const clock = new ManualClock();
	const connections = new TargetConnections('127.0.0.1:1', clock, () => clock.now(), {connectTimeoutMs: 100, idleTimeoutMs: 100});
	for (const request of [{path: 'no slash', headers: []}, {path: '/', headers: ['x', '\u4E00']}, {path: '/', headers: ['a b', 'x']}]) {
		const {exchange} = connections.start({method: 'GET', body: undefined, ...request}, {maxIdleMs: Infinity});
		t.match(await exchange.readHead(), {kind: 'fault', fault: {hasBeenSent: false}});
		t.equal(connections.size, 0);
	}
});
