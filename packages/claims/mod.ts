/**
 * At most once: requests that may not be repeated are claimed on the platform
 * before they run, so that a re-send to any instance gets the first one's
 * answer and never runs again.
 */
export {Claims, type ClaimsDeps, type ClaimsOptions} from './claims.ts';
export {
	claimPrefix, makeClaimKey, makeFingerprint, parseRecord, type ClaimOwner, type ClaimRecord,
} from './record.ts';
export {sweepClaims, type SweepDeps, type SweepOptions} from './sweep.ts';
