/**
 * Capacity that follows demand: a lease for each pool of engines, a forecast of
 * the demand, a plan of what to load and unload, and the orders that carry it
 * out.
 */
export {DemandForecast, type ForecastOptions} from './forecast.ts';
export {
	planCapacity, type EngineState, type PlannedOrder, type PlanInput,
} from './plan.ts';
export {CapacityController, type ControllerDeps} from './controller.ts';
export {runCapacity, type CapacityDeps} from './run-capacity.ts';
