/** The desired state of a small deployment: a ledger with one route that may be repeated and one that may not, and engines with a route of streams. */
export const keys = {dune: 'ctnfzs989anu6wsjnban', reef: 'qk27fjw0shq4mxp1vbla'};

export function createDesiredState(version = 1) {
	const shared = {Host: 'jepu9.example', Priority: 1, Public: false};
	return {
		Version: version,
		Routes: [
			{
				...shared, Name: 'stock-look', PathPrefix: '/look/', Kind: 'safe', Service: 'lagerbog', MaxAttempts: 2, TimeoutMs: 1500, TargetLatencyMs: 121,
			},
			{
				...shared, Name: 'stock-move', PathPrefix: '/move/', Kind: 'unsafe', Service: 'lagerbog', MaxAttempts: 1, TimeoutMs: 1500, TargetLatencyMs: 121,
			},
			{
				...shared, Name: 'seal-query', PathPrefix: '/seal/', Kind: 'streaming', Service: 'sprogtjeneste', MaxAttempts: 2, TimeoutMs: 3000,
				TargetLatencyMs: 500, Resumable: true, GapAimMs: 400, Sticky: true,
			},
		],
		Services: [
			{Name: 'lagerbog', HealthPath: '/healthz', MaxConns: 110},
			{
				Name: 'sprogtjeneste', HealthPath: '/healthz', MaxConns: 370,
				Engine: {
					Slots: 64, KvCapacity: 262_053, KvTokenBytes: 163_840, LinkMbps: 1_100_000, Models: [{Name: 'daka510000'}],
				},
			},
		],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
		},
		Tenants: [{Name: 'dune', ApiKeys: [keys.dune], Isolated: false}, {Name: 'reef', ApiKeys: [keys.reef], Isolated: false}],
	};
}

let sent = 0;

/** Creates the headers of a requester's attempt; each has its own id. */
export function createHeaders(more = {}) {
	return {
		host: 'jepu9.example', 'x-apricotdoor-request-id': (++sent).toString(16).padStart(16, '0'), 'api-key': keys.dune, ...more,
	};
}
