/**
 * Writes docs/DEPLOYMENTS.md from the journal: for each deployment, and for its
 * small twins, the days of the newest finished score.
 */
import {readdir, readFile, writeFile} from 'node:fs/promises';

const journal = 'journal';

/** Prices below this part of the worth are not listed. */
const minPrice = 0.005;

/** Number of prices that are listed for a day. */
const maxPrices = 3;

/** @returns the entries of finished scores, the oldest first */
async function readScores() {
	const files = await readdir(journal);
	const names = files.filter(name => name.endsWith('.json')).toSorted();
	const entries = await Promise.all(names.map(async name => JSON.parse(await readFile(`${journal}/${name}`, 'utf8'))));
	return entries.filter(({cmd, ok, why, days}) => cmd === 'score' && ok && days?.length > 0 && !why.startsWith('trial'));
}

/** Whether processor time was charged; without it, a score shows the decisions alone. */
function isCharged({argv}) {
	return !argv.includes('--no-cpu');
}

function formatDay({name, G: worth, naive, top, served, refused, failed, rules, fault, prices}) {
	const largest = prices.map(price => ({label: price[0], part: price[2]})).filter(({part}) => part >= minPrice).toSorted((a, b) => b.part - a.part).slice(0, maxPrices);
	const broken = Object.entries(rules).map(([rule, count]) => `${rule} ${count}`);
	const cells = [
		name, worth, naive, top, served, refused, failed, [...broken, ...(fault ? [fault] : [])].join(', ') || 'none', largest.map(({label, part}) => `${label} ${part}`).join('; '),
	];
	return `| ${cells.join(' | ')} |`;
}

/** Formats the days of the newest score of one kind. */
function formatScore(title, {id, head, dirty, why, at: [startedAt], days}) {
	return [
		`## ${title}`,
		'',
		`Journal ${id}, ${startedAt.slice(0, 10)}, on ${head.slice(0, 7)}${dirty ? ' with uncommitted changes' : ''}: ${why}`,
		'',
		'| day | worth | naive | top | served | refused | failed | broken rules | largest prices, as parts of the worth |',
		'| --- | --- | --- | --- | --- | --- | --- | --- | --- |',
		...days.map(day => formatDay(day)),
		'',
	].join('\n');
}

const newest = new Map();
for (const entry of await readScores()) {
	const isSmall = entry.argv.includes('--small');
	newest.set(`${entry.site}${isSmall ? ', small twins' : ''}${isCharged(entry) ? '' : ', processor time not charged'}`, entry);
}

const sections = [...newest].toSorted(([a], [b]) => a < b ? -1 : 1).map(([title, entry]) => formatScore(title, entry));
await writeFile('docs/DEPLOYMENTS.md', `# Deployments

The newest finished score of each deployment of the users, written by \`npm run deployments\` from
the entries in journal/. \`naive\` and \`top\` are the marks of the bench. Small twins are played by the
bench beside large days. Scores without processor time charged show the decisions alone.

${sections.join('\n')}`);
