/** The configuration of a small deployment, as its operator writes it. */

/** @param options `keys` of the first tenant, and the service that books movements */
export function createConfiguration(version, {keys = ['key-1'], moveService = 'ledger', sealTimeoutMs = 3000} = {}) {
	const shared = {
		Host: 'stock.example', TimeoutMs: 1500, TargetLatencyMs: 121, Priority: 2, Public: false, Sticky: false,
	};
	return {
		Version: version,
		Routes: [
			{
				...shared, Name: 'stock-move', PathPrefix: '/move/', Kind: 'unsafe', Service: moveService, MaxAttempts: 1,
			},
			{
				...shared, Name: 'stock-look', PathPrefix: '/look/', Kind: 'safe', Service: 'ledger', MaxAttempts: 2,
			},
			{
				...shared, Name: 'seal-query', PathPrefix: '/seal/', Kind: 'streaming', Service: 'llm', MaxAttempts: 2, TimeoutMs: sealTimeoutMs, TargetLatencyMs: 500, Priority: 0,
				Resumable: true, Sticky: true, GapAimMs: 400,
			},
			{
				...shared, Name: 'batch-audit', PathPrefix: '/audit/', Kind: 'streaming', Service: 'llm', MaxAttempts: 1, TimeoutMs: 15_000, TargetLatencyMs: 800, Priority: 1,
				Resumable: false, Sticky: true, GapAimMs: 400,
			},
		],
		Services: [
			{
				Name: 'ledger', HealthPath: '/healthz', MaxConns: 110, Protocol: 'h1', Tls: false,
			},
			{
				Name: 'ledger-new', HealthPath: '/healthz', MaxConns: 110, Protocol: 'h1', Tls: false,
			},
			{
				Name: 'llm', HealthPath: '/healthz', MaxConns: 370, Protocol: 'h1', Tls: false, Engine: {
					Slots: 64, KvCapacity: 262_053, KvTokenBytes: 163_840, LinkMbps: 1_100_000, Moves: true, Backups: true, Stride: 5, MaxInFlight: 12, PinMs: 4000, HoldMs: 2000,
					Models: [{Name: 'm0'}],
				},
			},
		],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
		},
		Tenants: [{
			Name: 'dune', ApiKeys: keys, Priority: 1, Isolated: false,
		}, {
			Name: 'reef', ApiKeys: ['key-2'], Priority: 1, Isolated: false,
		}],
	};
}
