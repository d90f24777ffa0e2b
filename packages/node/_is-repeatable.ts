/** Determines from a route's call rules whether a request may run more than once. */
import type {CallRule, Route, Work} from '#core';

/** Returns the setting of the first rule that matches the call, or of the route if none does or the work is not a call. */
export function isRepeatable(route: Route, work: Work): boolean {
	if (work.kind !== 'call') {
		return route.repeatable;
	}

	const path = work.path.split('?', 1)[0]!;
	const rule = route.calls.find(rule => rule.method === work.method && isPathMatch(rule, path));
	return rule?.repeatable ?? route.repeatable;
}

/** In a rule's path, `*` matches any one segment, and `**` at the end matches any number of further ones. */
function isPathMatch(rule: CallRule, path: string): boolean {
	const pattern = rule.path.split('/');
	const segments = path.split('/');
	if (pattern.at(-1) === '**') {
		const prefix = pattern.slice(0, -1);
		return segments.length >= prefix.length && prefix.every((part, index) => part === '*' || part === segments[index]);
	}

	return pattern.length === segments.length && pattern.every((part, index) => part === '*' || part === segments[index]);
}
