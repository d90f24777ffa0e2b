/** Quarantines requests, and parts of prompts, that crash the targets they run on. */
export {computeFingerprint, computeRelayFingerprint} from './fingerprint.ts';
export {
	PartQuarantine, partStrikeOptions, type PartAdmission, type PartQuarantineDependencies,
} from './part-quarantine.ts';
export {
	Quarantine, type QuarantineDependencies, type StrikeRecord,
} from './quarantine.ts';
export type {QuarantineOptions} from './quarantine-options.ts';
export {runQuarantineArchive, type QuarantineArchiveDependencies} from './quarantine-archive.ts';
export {runStrikeSync, type StrikeSyncDependencies} from './strike-sync.ts';
export {
	StruckRequestTurns, type Turn, type TurnDependencies, type TurnOptions, type TurnRequest,
} from './struck-request-turns.ts';
