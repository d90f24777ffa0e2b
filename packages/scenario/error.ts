/** The error that steps of a scenario throw. */

/** A failed check or a malformed step. The runner adds the file and the line number. */
export class ScenarioError extends Error {
	override readonly name = 'ScenarioError';
}
