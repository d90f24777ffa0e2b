/** Quarantines requests that crash the targets they run on. */
export {makeFingerprint, makeRelayFingerprint} from './fingerprint.ts';
export {Quarantine, type QuarantineDependencies, type QuarantineOptions} from './quarantine.ts';
export {
	StruckTurns, type Turn, type TurnDependencies, type TurnOptions, type TurnRequest,
} from './struck-request-turns.ts';
