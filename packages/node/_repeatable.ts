/** Decides from a route's rules whether a request may run more than once. */
import type {CallRule, Route, Work} from '#core';

/** The first matching rule of the route decides, else the route itself. */
export function isRepeatable(route: Route, work: Work): boolean {
	if (work.kind !== 'call') {
		return route.repeatable;
	}

	const path = work.path.split('?', 1)[0]!;
	const rule = route.calls.find(rule => rule.method === work.method && isMatch(rule, path));
	return rule?.repeatable ?? route.repeatable;
}

function isMatch(rule: CallRule, path: string): boolean {
	const pattern = rule.path.split('/');
	const segments = path.split('/');
	if (pattern.at(-1) === '**') {
		const fixed = pattern.slice(0, -1);
		return segments.length >= fixed.length && fixed.every((part, index) => part === '*' || part === segments[index]);
	}

	return pattern.length === segments.length && pattern.every((part, index) => part === '*' || part === segments[index]);
}
