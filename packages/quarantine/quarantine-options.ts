/** How long a quarantine keeps strikes, how many lead to a refusal, and how they are exchanged. */

/** Options of a `Quarantine`. */
export type QuarantineOptions = Readonly<{
	/** Separates these fingerprints from those of other quarantines on the same bus. Default: empty. */
	namespace?: string;
	/** Number of crashes at which a fingerprint is quarantined. Default: 2. */
	strikeLimit?: number;
	/** Time after the newest crash at which strikes expire, in milliseconds. Default: 600 000. */
	retentionMs?: number;
	/** Time after the newest crash at which a quarantine expires, in milliseconds. Default: `retentionMs`. */
	quarantineRetentionMs?: number;
	/** Time after the newest crash for which strikes below the limit are broadcast again, in milliseconds; those of a quarantine always are. Default: `retentionMs`. */
	rebroadcastPeriodMs?: number;
	/** Maximum number of fingerprints kept; the oldest one that is not quarantined is evicted first. Default: 10 000. */
	maxEntries?: number;
	/** Approximate time after which an entry is broadcast again if no peer has broadcast it, in milliseconds. Default: 5000. */
	rebroadcastIntervalMs?: number;
}>;
