import t from 'tap';
import {runFleet, type Disturbance} from './testing/crashing-fleet.ts';

/** Maximum number of requests with a crashing part that may reach targets after instances had time to learn of its fifth crash. */
const maxLateArrivals = 3;
const minAdmittedShare = 0.9;
const seeds = [1, 2, 3];

const disturbances: readonly Disturbance[] = ['none', 'restarts', 'power', 'cuts', 'late'];

for (const disturbance of disturbances) {
	// Guards against a prompt part that crashes target after target, also after instances that knew it have ended.
	t.test(`a part that crashes targets is stopped while sound prompts run; disturbance: ${disturbance}`, async t => {
		for (const instances of [1, 2, 5, 12, 20]) {
			for (const seed of seeds) {
				const {crashes, lateArrivals, admittedShare} = await runFleet({instances, seed, disturbance});
				const label = `${instances} instances, seed ${seed}, ${crashes} crashes`;
				t.ok(lateArrivals <= maxLateArrivals, `${label}: ${lateArrivals} late arrivals`);
				t.ok(admittedShare >= minAdmittedShare, `${label}: ${admittedShare} of the sound prompts admitted`);
			}
		}
	});
}

// Guards against a refusal of all prompts that share a part after many targets have crashed for another reason.
t.test('a crash of all targets at once does not stop sound prompts', async t => {
	for (const instances of [1, 3, 12]) {
		for (const seed of seeds) {
			const {admittedShare} = await runFleet({
				instances, seed, disturbance: 'none', crashingPerSecond: 0, massCrashMs: 8000,
			});
			t.ok(admittedShare >= minAdmittedShare, `${instances} instances, seed ${seed}: ${admittedShare} of the sound prompts admitted`);
		}
	}
});

t.test('two parts that crash targets at the same time are stopped', async t => {
	for (const instances of [1, 3, 12]) {
		for (const seed of seeds) {
			const {crashes, lateArrivals, admittedShare} = await runFleet({
				instances, seed, disturbance: 'restarts', crashingParts: 2,
			});
			const label = `${instances} instances, seed ${seed}, ${crashes} crashes`;
			t.ok(lateArrivals <= maxLateArrivals, `${label}: ${lateArrivals} late arrivals`);
			t.ok(admittedShare >= minAdmittedShare, `${label}: ${admittedShare} of the sound prompts admitted`);
		}
	}
});

// Guards against trials that are used up by prompts with the crashing part, while prompts with only its companions are refused.
t.test('a crash of all targets at once, beside a part that crashes targets, does not stop sound prompts', async t => {
	const runs: ReadonlyArray<Readonly<{instances: number; seed: number; disturbance: Disturbance}>> = [
		{instances: 3, seed: 100, disturbance: 'cuts'},
		{instances: 12, seed: 104, disturbance: 'restarts'},
		{instances: 24, seed: 128, disturbance: 'power'},
		{instances: 1, seed: 148, disturbance: 'late'},
	];
	for (const run of runs) {
		const {lateArrivals, admittedShare} = await runFleet({...run, durationMs: 40_000, massCrashMs: 8000});
		const label = `${run.instances} instances, seed ${run.seed}`;
		t.ok(lateArrivals <= maxLateArrivals, `${label}: ${lateArrivals} late arrivals`);
		t.ok(admittedShare >= minAdmittedShare, `${label}: ${admittedShare} of the sound prompts admitted`);
	}
});

// Guards against a part that is never quarantined because each instance ends before it has seen enough crashes.
t.test('a rare part that crashes targets is stopped although all instances are killed again and again', async t => {
	for (const instances of [1, 2, 7]) {
		const {crashes, lateArrivals} = await runFleet({
			instances, seed: 205, disturbance: 'power', durationMs: 60_000, soundPerSecond: 10, crashingPerSecond: 0.5, crashingParts: 2,
		});
		t.ok(lateArrivals <= maxLateArrivals, `${instances} instances, ${crashes} crashes: ${lateArrivals} late arrivals`);
	}
});
