/**
 * Autoscaling of engine pools. For each pool, the holder of a lease forecasts
 * the demand, plans which engines load or unload weights, and sends the orders
 * to the engines.
 */
export {DemandForecast, type ForecastOptions} from './forecast.ts';
export {
	planCapacity, type EngineState, type PlannedOrder, type PlanInput,
} from './plan.ts';
export {CapacityController, type ControllerDependencies} from './controller.ts';
export {runCapacityControllers, type CapacityDependencies} from './run-capacity-controllers.ts';
