/**
 * Measures how control traffic, processor time and memory grow with instances,
 * targets, customers and cache events: one idle deployment for each size.
 */
import {measureIdleUsage, type IdleMeasurements} from './_fleet-measurements.ts';
import {FleetDeployment, type FleetSize} from './_fleet-deployment.ts';

/** Measurements for each size, and their slopes over the sizes by least squares. */
export type Sweep = Readonly<{
	points: ReadonlyArray<IdleMeasurements & Readonly<{size: number}>>;
	slopes: IdleMeasurements;
}>;

type Axis = keyof FleetSize;

const baseSize: FleetSize = {
	instances: 4, targets: 4, customers: 8, eventsPerSecond: 0,
};
const sizes: Readonly<Record<Axis, readonly number[]>> = {
	instances: [4, 8, 12, 24, 32],
	targets: [4, 96],
	customers: [8, 3500],
	eventsPerSecond: [0, 4000, 16_000],
};
const settleMs = 15_000;
const idleMs = 10_000;

/** Measures every size of every axis. */
export async function runSweep(program: string, logProgress: (text: string) => void): Promise<Readonly<Record<Axis, Sweep>>> {
	const sweeps: Partial<Record<Axis, Sweep>> = {};
	for (const axis of Object.keys(sizes) as Axis[]) { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the keys of a constant table
		const points: Array<IdleMeasurements & Readonly<{size: number}>> = [];
		for (const size of sizes[axis]) {
			const measurements = await measureSize(program, {...baseSize, [axis]: size});
			points.push({size, ...measurements});
			logProgress(`${axis} ${size}: ${JSON.stringify(measurements)}\n`);
		}

		sweeps[axis] = {points, slopes: fitSlopes(points)};
		logProgress(`${axis}, growth per unit: ${JSON.stringify(sweeps[axis].slopes)}\n`);
	}

	return sweeps as Record<Axis, Sweep>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the loop filled every axis
}

async function measureSize(program: string, size: FleetSize): Promise<IdleMeasurements> {
	const deployment = new FleetDeployment(program, size);
	try {
		await deployment.start();
		await deployment.clock.sleep(settleMs);
		return await measureIdleUsage(deployment, idleMs);
	} finally {
		await deployment.close();
	}
}

function fitSlopes(points: Sweep['points']): IdleMeasurements {
	const fitSlope = (getValue: (measurements: IdleMeasurements) => number) => {
		const meanSize = points.reduce((sum, {size}) => sum + size, 0) / points.length;
		const mean = points.reduce((sum, point) => sum + getValue(point), 0) / points.length;
		const squaredDeviations = points.reduce((sum, {size}) => sum + ((size - meanSize) ** 2), 0);
		return points.reduce((sum, point) => sum + ((point.size - meanSize) * (getValue(point) - mean)), 0) / squaredDeviations;
	};

	return {
		controlBytesPerSecondPerInstance: fitSlope(measurements => measurements.controlBytesPerSecondPerInstance),
		controlCpuShare: fitSlope(measurements => measurements.controlCpuShare),
		rssMb: fitSlope(measurements => measurements.rssMb),
	};
}
