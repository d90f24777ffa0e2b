/** Authentication of customers and admission of their requests. */
export {authenticate, digestKey} from './authenticate.ts';
export {
	Admission, type AdmissionDeps, type AdmissionOptions, type Grant,
} from './admission.ts';
export {
	Shares, type Amount, type SharesDeps, type SharesOptions,
} from './shares.ts';
