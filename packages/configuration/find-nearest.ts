/** Finds the known name that was most likely meant by a mistyped one. */

/** Maximum number of edits between a mistyped name and the known name that was meant. */
const maxEdits = 3;

/**
 * Finds the closest known name by Levenshtein distance (1966), ignoring case.
 *
 * @returns `undefined` if no known name is within three edits and within half of the name's length
 * @example
 * ```ts
 * findNearest('adress', ['address', 'zone']); // 'address'
 * ```
 */
export function findNearest(name: string, known: Iterable<string>): string | undefined {
	let best: string | undefined;
	let bestEdits = Math.min(maxEdits, Math.floor(name.length / 2)) + 1;
	for (const candidate of known) {
		if (Math.abs(candidate.length - name.length) >= bestEdits) {
			continue;
		}

		const edits = countEdits(name.toLowerCase(), candidate.toLowerCase());
		if (edits < bestEdits) {
			best = candidate;
			bestEdits = edits;
		}
	}

	return best;
}

function countEdits(a: string, b: string): number {
	let previous = Array.from({length: b.length + 1}, (_, index) => index);
	for (let row = 1; row <= a.length; row++) {
		const current = [row];
		for (let column = 1; column <= b.length; column++) {
			const replaced = previous[column - 1]! + (a[row - 1] === b[column - 1] ? 0 : 1);
			current.push(Math.min(replaced, previous[column]! + 1, current[column - 1]! + 1));
		}

		previous = current;
	}

	return previous[b.length]!;
}
