/** Renders docs/METRICS.md and docs/REFUSALS.md from the definitions of metrics and the rules for refusals and retries. `npm run generate` writes the files. */
import {adminRefusalRules} from '#admin';
import {refusalRules} from '#core';
import {causeRules} from '#dispatch';
import {
	counterDefinitions, gaugeDefinitions, histogramDefinitions, type MetricDefinition,
} from '#telemetry';

/** Renders the page that lists all metric series. */
export function renderMetricsPage(): string {
	const renderSection = (title: string, definitions: Readonly<Record<string, MetricDefinition>>) => [
		`## ${title}`,
		'',
		...renderTable(['Name', 'Labels', 'Meaning'], Object.entries(definitions).map(([name, {labels, help}]) => [`\`apricotdoor_${name}\``, labels.join(', '), help])),
		'',
	];
	return [
		'# Metrics',
		'',
		'`GET /metrics` of the administration address answers in the Prometheus text format. Written by `npm run generate`; a test keeps it current.',
		'',
		...renderSection('Counters', counterDefinitions),
		...renderSection('Gauges', gaugeDefinitions),
		...renderSection('Histograms', histogramDefinitions),
	].join('\n');
}

/** Renders the page that lists all reasons of refusals and retries. */
export function renderRefusalsPage(): string {
	const callers = Object.entries(refusalRules).map(([reason, {status, ran, message}]) => [`\`${reason}\``, String(status), ran, message]);
	const operators = Object.entries(adminRefusalRules).map(([reason, {status, message}]) => [`\`${reason}\``, String(status), message]);
	const retries = Object.entries(causeRules).map(([cause, {outcome, reason, place}]) => [`\`${cause}\``, outcome, place, `\`${reason}\``]);
	return [
		'# Refusals and retries',
		'',
		'Written by `npm run generate`; a test keeps it current.',
		'',
		'## What callers are told',
		'',
		[
			'The body is `{"error": {"code", "message", "ran", "retryAfterMs"}}`.',
			'`ran` says whether the request ran: `not_run` is only said when that is proved.',
			'The column shows what a reason says unless the attempts prove otherwise.',
			'Counter: `apricotdoor_refusals_total{reason, ran}`.',
		].join(' '),
		'',
		...renderTable(['Code', 'Status', 'Ran', 'Message'], callers),
		'',
		'## What operators are told',
		'',
		'Counter: `apricotdoor_admin_refusals_total{reason}`.',
		'',
		...renderTable(['Code', 'Status', 'Message'], operators),
		'',
		'## Why a request is tried again',
		'',
		'Counter: `apricotdoor_retries_total{reason}`. A request that may not be repeated is only tried again after `notSent` and `refused`.',
		'',
		...renderTable(['Cause', 'Outcome of the attempt', 'Next target', 'Refusal if it is the last'], retries),
		'',
	].join('\n');
}

function renderTable(head: readonly string[], rows: ReadonlyArray<readonly string[]>): readonly string[] {
	return [head, head.map(() => '---'), ...rows].map(row => `| ${row.join(' | ')} |`);
}
