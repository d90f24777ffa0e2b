/** The exit codes of the command line; docs/operators/publish.md lists them. */

/** Exit codes by name. */
export const exitCodes = {
	/** Done. */
	ok: 0,
	/** Checked and refused, or tried and failed; the message says why. */
	failed: 1,
	/** Wrong usage, or an input that cannot be read. */
	usage: 2,
	/** The platform or the instance did not answer. */
	unreachable: 3,
	/** Another operator changed the same service. */
	conflict: 4,
} as const satisfies Readonly<Record<string, number>>;

/** An exit code. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
