import t from 'tap';
import {canRelay, type RelayedRequest} from './channel.ts';

const request: RelayedRequest = {
	id: 'a', method: 'GET', path: '/a/1', headers: [], route: {
		name: 'r', host: 'h', pathPrefix: '/a/', pools: [{pool: 'p', weight: 1}], isStream: false, retryPolicy: 'any', maxTargets: 1, timeoutMs: 800, promisedMs: 100, promisedGapMs: 0,
		priority: 2, isPublic: false,
	}, pool: {name: 'p', healthPath: '/', maxConnections: 9}, configurationVersion: 1, remainingMs: 500,
};

// Guards against a caller whose odd request closes the links between instances.
t.test('a request that a peer cannot read is not sent to it', async t => {
	t.ok(canRelay(request));
	t.notOk(canRelay({...request, id: 'x'.repeat(300)}), 'id');
	t.notOk(canRelay({...request, path: `/${'x'.repeat(70_000)}`}), 'path');
	t.notOk(canRelay({...request, headers: Array.from({length: 2000}, () => 'x')}), 'headers');
	t.notOk(canRelay({...request, route: {...request.route, maxTargets: 1.5}}), 'route');
});
