/** Defines the commands of the command line and their options with `commander`, and runs one. */
import {
	Command, CommanderError, InvalidArgumentError, Option,
} from 'commander';
import {runCheck, type CheckOptions} from './check.ts';
import {runDemo} from './demo.ts';
import {runDigest} from './digest.ts';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {runExplain, type ExplainOptions} from './explain.ts';
import type {CommandIo} from './io.ts';
import {runLoadCommand, type LoadCommandOptions} from './load.ts';
import {runPublish, type PublishOptions} from './publish.ts';
import {runServe, type ServeOptions} from './serve.ts';
import {runStatus, type StatusOptions} from './status.ts';
import {version} from './version.ts';
import {getErrorMessage} from '#core';

const exitCodesHelp = `
Exit codes:
  0  success
  1  the input was refused by a check, or the command failed
  2  wrong arguments, or an input that cannot be read
  3  the platform or an instance did not answer
  4  another operator changed the same service

Environment variables:
  APRICOTDOOR_PLATFORM_TOKEN  token for the platform
  APRICOTDOOR_ADMIN_TOKEN     operator's token for the administration API
`;

/**
 * Runs one command line.
 *
 * @param args arguments after the program's name
 * @returns the exit code; errors are printed as messages without a stack trace
 */
export async function runCommandLine(args: readonly string[], io: CommandIo): Promise<ExitCode> {
	let exitCode: ExitCode = exitCodes.ok;
	const program = createProgram(io, result => {
		exitCode = result;
	});
	try {
		await program.parseAsync([...args], {from: 'user'});
	} catch (error) {
		if (error instanceof CommanderError) {
			return error.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
		}

		io.warn(getErrorMessage(error));
		return exitCodes.failed;
	}

	return exitCode;
}

type SetExitCode = (code: ExitCode) => void;

function createProgram(io: CommandIo, setExitCode: SetExitCode): Command {
	const program = new Command('apricotdoor');
	program.description('Routes language-model traffic with long shared prompts.').version(version)
		.exitOverride()
		.configureOutput({
			writeOut(text) {
				io.write(text.trimEnd());
			},
			writeErr(text) {
				io.warn(text.trimEnd());
			},
		})
		.addHelpText('after', exitCodesHelp);
	for (const addCommand of [addServeCommand, addCheckCommand, addPublishCommand, addStatusCommand, addExplainCommand, addLoadCommand, addSimpleCommands]) {
		addCommand(program, io, setExitCode);
	}

	return program;
}

function addServeCommand(program: Command, io: CommandIo, setExitCode: SetExitCode): void {
	program.command('serve')
		.description('Run one instance of the router until SIGTERM or SIGINT.')
		.requiredOption('--settings <file>', 'JSON settings of this instance; APRICOTDOOR_… variables override it')
		.addHelpText('after', '\nExample:\n  apricotdoor serve --settings examples/malerlagerforening/settings/entry-1.json')
		.action(async (options: ServeOptions) => {
			setExitCode(await runServe(io, options));
		});
}

function addCheckCommand(program: Command, io: CommandIo, setExitCode: SetExitCode): void {
	program.command('check')
		.description('Check configuration files without publishing them.')
		.argument('<path...>', 'service files, or folders of them (*.json)')
		.option('--json', 'print one JSON object')
		.addHelpText('after', '\nExample:\n  apricotdoor check examples/malerlagerforening')
		.action(async (paths: readonly string[], options: CheckOptions) => {
			setExitCode(await runCheck(io, paths, options));
		});
}

function addPublishCommand(program: Command, io: CommandIo, setExitCode: SetExitCode): void {
	program.command('publish')
		.description('Check configuration files and publish them.')
		.argument('[path...]', 'service files, or folders of them (*.json)')
		.option('--platform <origin>', 'publish to the platform, such as http://10.0.0.3:7000')
		.option('--admin <address...>', 'publish through the first of these instances if --platform is absent; --wait polls all of them')
		.option('--remove <service...>', 'remove services')
		.option('--base <service=checksum...>', 'refuse if the service in force does not have this checksum (none: the service must be new)')
		.option('--wait', 'wait until every live instance has the generation in force')
		.addOption(new Option('--wait-seconds <seconds>', 'maximum time to wait').default(30).argParser(parsePositive))
		.option('--json', 'print the receipt as one JSON object')
		.addHelpText('after', `
Examples:
  apricotdoor publish examples/malerlagerforening --platform http://10.20.0.3:7000
  apricotdoor publish services/ --admin 10.20.1.2:8081 --wait
  apricotdoor publish --remove stock-ledger --admin 10.20.1.2:8081`)
		.action(async (paths: readonly string[], options: PublishOptions) => {
			setExitCode(await runPublish(io, paths, options));
		});
}

function addStatusCommand(program: Command, io: CommandIo, setExitCode: SetExitCode): void {
	program.command('status')
		.description('Show the live instances and the generation in force on each.')
		.requiredOption('--admin <address...>', 'administration addresses of instances')
		.option('--json', 'print one JSON object')
		.addHelpText('after', '\nExample:\n  apricotdoor status --admin 10.20.1.2:8081')
		.action(async (options: StatusOptions) => {
			setExitCode(await runStatus(io, options));
		});
}

function addExplainCommand(program: Command, io: CommandIo, setExitCode: SetExitCode): void {
	program.command('explain')
		.description('Show which target a request would be sent to now, and the estimated costs behind that choice.')
		.requiredOption('--admin <address>', 'administration address of an instance')
		.requiredOption('--customer <name>', 'customer that would call')
		.requiredOption('--route <name>', 'route that would be called')
		.option('--messages <file>', 'JSON list of the chat\'s messages')
		.option('--json', 'print one JSON object')
		.addHelpText('after', '\nExample:\n  apricotdoor explain --admin 10.20.1.2:8081 --customer audit-office --route stock-chat --messages chat.json')
		.action(async (options: ExplainOptions) => {
			setExitCode(await runExplain(io, options));
		});
}

function addLoadCommand(program: Command, io: CommandIo, setExitCode: SetExitCode): void {
	program.command('load')
		.description('Send a seeded workload to a running instance at a given rate, and print a report.')
		.requiredOption('--origin <origin>', 'instance or load balancer, such as http://10.20.1.2:8080')
		.requiredOption('--route <name>', 'route to call')
		.requiredOption('--customers <file>', 'JSON list of {"name", "key", "share"}')
		.addOption(new Option('--rate <number>', 'requests per second').default(10).argParser(parsePositive))
		.addOption(new Option('--seconds <number>', 'time during which requests are sent').default(30).argParser(parsePositive))
		.addOption(new Option('--seed <number>', 'seed of the workload; equal seeds send equal requests').default(1).argParser(parsePositive))
		.addOption(new Option('--promised-ms <number>', 'promised time to the first token, in milliseconds').default(1800).argParser(parsePositive))
		.addOption(new Option('--shift-seconds <number>', 'time after which other dossiers become the most popular ones').default(20).argParser(parsePositive))
		.addOption(new Option('--dossiers <number>', 'number of dossiers of each customer').default(40).argParser(parsePositive))
		.option('--json', 'print the report as one JSON object')
		.addHelpText('after', '\nExample:\n  apricotdoor load --origin http://10.20.1.2:8080 --route stock-chat --customers mix.json --rate 40 --seconds 60')
		.action(async (options: LoadCommandOptions) => {
			setExitCode(await runLoadCommand(io, options));
		});
}

function addSimpleCommands(program: Command, io: CommandIo, setExitCode: SetExitCode): void {
	program.command('digest')
		.description('Read a key from standard input and print the digest that files contain in its place.')
		.addHelpText('after', '\nExample:\n  openssl rand -hex 24 | tee key.txt | apricotdoor digest')
		.action(async () => {
			setExitCode(await runDigest(io));
		});
	program.command('demo')
		.description('Run the example deployment with two routers and stand-ins on loopback, and send a few requests.')
		.action(async () => {
			setExitCode(await runDemo(io));
		});
	program.command('version')
		.description('Print the version.')
		.action(() => {
			io.write(version);
		});
}

function parsePositive(text: string): number {
	const value = Number(text);
	if (!Number.isFinite(value) || value <= 0) {
		throw new InvalidArgumentError('It must be a number greater than 0.');
	}

	return value;
}
