/** Parses the text of a scenario into steps, and the words of a step into values. */
import {ScenarioError} from './error.ts';
import {fail, succeed, type Result} from '#core';

/** One step: a verb, its words, and its `name=value` options. */
export type Step = Readonly<{
	/** Line number, from 1. */
	line: number;
	verb: string;
	words: readonly string[];
	options: ReadonlyMap<string, string>;
}>;

/** The first line that cannot be parsed, and the reason. */
export type ParseFailure = Readonly<{line: number; message: string}>;

/** Matches one word or option, whose value may be in quotation marks. */
const tokenPattern = /(?:(?<name>[a-zA-Z\-]+)=)?(?:"(?<quoted>[^"]*)"|(?<plain>[^\s"]+))/gv;
const msPerUnit: Readonly<Record<string, number>> = {ms: 1, s: 1000, min: 60_000};

/**
 * Parses the steps of a scenario. Empty lines and lines that start with `#` are
 * skipped.
 *
 * @returns the steps, or the first line that cannot be parsed
 */
export function parseScenario(text: string): Result<readonly Step[], ParseFailure> {
	const steps: Step[] = [];
	for (const [index, raw] of text.split('\n').entries()) {
		const content = raw.trim();
		if (content === '' || content.startsWith('#')) {
			continue;
		}

		const line = index + 1;
		// An even number of parts means an odd number of quotation marks.
		if (content.split('"').length % 2 === 0) {
			return fail({line, message: 'a quotation mark is not closed'});
		}

		steps.push(parseStep(line, content));
	}

	return succeed(steps);
}

function parseStep(line: number, content: string): Step {
	const words: string[] = [];
	const options = new Map<string, string>();
	for (const match of content.matchAll(tokenPattern)) {
		const {name, quoted, plain} = match.groups!;
		const value = quoted ?? plain ?? '';
		if (name === undefined) {
			words.push(value);
		} else {
			options.set(name, value);
		}
	}

	return {
		line, verb: words[0] ?? '', words: words.slice(1), options,
	};
}

/**
 * Returns the word of a step at an index. The verb does not count as a word.
 *
 * @param meaning what the word stands for, with its article, for the error message
 * @throws {ScenarioError} if the step has too few words
 */
export function getWord(step: Step, index: number, meaning: string): string {
	const word = step.words[index];
	if (word === undefined) {
		throw new ScenarioError(`"${step.verb}" needs ${meaning} as word ${index + 1}`);
	}

	return word;
}

/** Parses an integer or a decimal number; throws a {@link ScenarioError} for any other text. */
export function parseNumber(text: string): number {
	const value = Number(text);
	if (text === '' || Number.isNaN(value)) {
		throw new ScenarioError(`"${text}" is not a number`);
	}

	return value;
}

/** Parses a duration such as `500ms`, `3s` or `2min` into milliseconds; throws a {@link ScenarioError} for any other text. */
export function parseTime(text: string): number {
	const match = /^(?<count>\d+(?:\.\d+)?)(?<unit>ms|s|min)$/v.exec(text);
	if (!match) {
		throw new ScenarioError(`"${text}" is not a time; write it like 500ms, 3s or 2min`);
	}

	return Number(match.groups!.count) * msPerUnit[match.groups!.unit!]!;
}
