/** Sizes of the deployments that the placement bench simulates. */

/** Size of a deployment and of its load. */
export type Shape = Readonly<{
	routers: number;
	engines: number;
	zones: readonly string[];
	/** One-way latency between availability zones, in milliseconds. */
	zoneLatencyMs: number;
	requestsPerSecond: number;
	/** Dossiers of a large customer. */
	dossiers: number;
}>;

export const shapes = {
	maalerlager: {
		routers: 8, engines: 6, zones: ['esbjerg', 'kolding', 'aarhus'], zoneLatencyMs: 1.5, requestsPerSecond: 7, dossiers: 40,
	},
	halalkeur: {
		routers: 8, engines: 12, zones: ['be-central-a', 'be-central-b', 'be-central-c'], zoneLatencyMs: 1, requestsPerSecond: 14, dossiers: 80,
	},
	target: {
		routers: 48, engines: 74, zones: Array.from({length: 10}, (_, index) => `zone-${index}`), zoneLatencyMs: 1.5, requestsPerSecond: 86, dossiers: 490,
	},
} as const satisfies Readonly<Record<string, Shape>>;

export type ShapeName = keyof typeof shapes;
