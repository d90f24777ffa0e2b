/**
 * At-most-once execution. An instance claims a non-repeatable request in the
 * platform's object store before it runs the request, so that a re-send to any
 * instance gets the answer of the first run and never starts a second one.
 */
export {Claims, type ClaimsDependencies, type ClaimsOptions} from './claims.ts';
export {
	claimPrefix, createClaimKey, computeFingerprint, parseClaimRecord, type ClaimOwner, type ClaimRecord,
} from './record.ts';
export {sweepClaims, type SweepDependencies, type SweepOptions} from './sweep.ts';
