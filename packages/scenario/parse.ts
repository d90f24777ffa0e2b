/** Reads a scenario's text into steps. */
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

/** A line that is not a step. */
export type ParseFault = Readonly<{line: number; message: string}>;

const tokenPattern = /(?:(?<name>[a-zA-Z\-]+)=)?(?:"(?<quoted>[^"]*)"|(?<plain>[^\s"]+))/gv;
const unitMs: Readonly<Record<string, number>> = {ms: 1, s: 1000, min: 60_000};

/**
 * Reads the steps of a scenario. Empty lines and lines that start with `#` are
 * passed over.
 *
 * @returns the steps, or the first line that is not one
 */
export function parseScenario(text: string): Result<readonly Step[], ParseFault> {
	const steps: Step[] = [];
	for (const [index, raw] of text.split('\n').entries()) {
		const content = raw.trim();
		if (content === '' || content.startsWith('#')) {
			continue;
		}

		const line = index + 1;
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

/** The word at a place of a step. */
export function getWord(step: Step, index: number, meaning: string): string {
	const word = step.words[index];
	if (word === undefined) {
		throw new ScenarioError(`"${step.verb}" needs ${meaning} as word ${index + 1}`);
	}

	return word;
}

/** A whole or decimal number. */
export function parseNumber(text: string): number {
	const value = Number(text);
	if (text === '' || Number.isNaN(value)) {
		throw new ScenarioError(`"${text}" is not a number`);
	}

	return value;
}

/** A time such as `500ms`, `3s` or `2min`, in milliseconds. */
export function parseTime(text: string): number {
	const match = /^(?<count>\d+(?:\.\d+)?)(?<unit>ms|s|min)$/v.exec(text);
	if (!match) {
		throw new ScenarioError(`"${text}" is not a time; write it like 500ms, 3s or 2min`);
	}

	return Number(match.groups!.count) * unitMs[match.groups!.unit!]!;
}
