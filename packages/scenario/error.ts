/** Why a step failed. */

/** A failed expectation or a malformed step; the runner adds file and line. */
export class ScenarioError extends Error {
	override readonly name = 'ScenarioError';
}
