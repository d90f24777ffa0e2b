/** Isolation of requests that crash the targets which run them. */
export {makeFingerprint, makeRelayFingerprint} from './fingerprint.ts';
export {Quarantine, type QuarantineDeps, type QuarantineOptions} from './quarantine.ts';
export {
	StruckTurns, type Turn, type TurnDeps, type TurnOptions, type TurnRequest,
} from './turns.ts';
