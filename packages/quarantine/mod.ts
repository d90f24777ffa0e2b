/** Quarantines requests that crash the targets they run on. */
export {computeFingerprint, computeRelayFingerprint} from './fingerprint.ts';
export {Quarantine, type QuarantineDependencies, type QuarantineOptions} from './quarantine.ts';
export {
	StruckRequestTurns, type Turn, type TurnDependencies, type TurnOptions, type TurnRequest,
} from './struck-request-turns.ts';
