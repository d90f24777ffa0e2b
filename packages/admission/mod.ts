/** Authentication of customers and admission of their requests. */
export {authenticate, digestKey} from './authenticate.ts';
export {
	Admission, type AdmissionDependencies, type AdmissionOptions, type Grant,
} from './admission.ts';
export {
	Shares, type LimitAmount, type SharesDependencies, type SharesOptions,
} from './shares.ts';
export {
	HeldBodies, type HeldBodiesDependencies, type HeldBodiesOptions, type HeldBody,
} from './held-bodies.ts';
export {CustomerLimits, type CustomerLimitsDependencies, type LimitTolerance} from './customer-limits.ts';
