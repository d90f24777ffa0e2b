/** The verbs of the command line and their options, by `commander`. */
import {Command} from 'commander';
import {runCheck} from './check.ts';
import {runDemo} from './demo.ts';
import {runPublish} from './publish.ts';
import {runServe} from './serve.ts';
import {version} from './version.ts';

/** Creates the command line; parsing it runs the verb. */
export function createProgram(): Command {
	const program = new Command('apricotdoor');
	program.description('Routes language-model traffic with long shared prompts.').version(version);
	program.command('serve')
		.description('Run one instance of the router.')
		.requiredOption('--settings <file>', 'JSON settings of this instance')
		.action(runServe);
	program.command('check')
		.description('Check configuration files without publishing them.')
		.argument('<dir...>', 'folders with service files (*.json)')
		.action(runCheck);
	program.command('publish')
		.description('Check configuration files and put them into force.')
		.argument('<dir...>', 'folders with service files (*.json)')
		.requiredOption('--platform <origin>', 'origin of the platform, such as http://10.0.0.1:7000')
		.option('--token <token>', 'token for the platform')
		.action(runPublish);
	program.command('demo')
		.description('Run stand-ins and two routers on loopback and send a few requests.')
		.action(runDemo);
	program.command('version')
		.description('Print the version.')
		.action(() => {
			console.log(version);
		});
	return program;
}
