/** Exit codes of the command line. docs/operators/publish.md lists them. */

/** Exit codes by name. */
export const exitCodes = {
	/** The command succeeded. */
	ok: 0,
	/** The input was refused by a check, or the command failed; the message gives the reason. */
	failed: 1,
	/** The arguments are wrong, or an input cannot be read. */
	usage: 2,
	/** The platform or an instance did not answer, or a generation was not in force on every live instance in time. */
	unreachable: 3,
	/** Another operator changed the same service. */
	conflict: 4,
} as const satisfies Readonly<Record<string, number>>;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
