/** A target that leaves and starts again under its id, in random orders of entries, answers and reports of peers, some of them of an earlier program. */
import fc from 'fast-check';
import t from 'tap';
import {TargetSet} from './target-set.ts';
import type {TargetState} from './target-state.ts';
import {ManualClock} from '#clock';
import type {RelayTarget} from '#core';
import type {TargetWork} from '#placement';

const seed = 5;
const runs = 300;
const instanceCount = 3;

/** Time in which each instance must use a target that serves, and none one that leaves, once entries and reports arrive, in milliseconds. */
const settleMs = 12_000;
const settleUnknownMs = 45_000;
const stepMs = 500;

const lastOfEight = () => ({instances: 8, rank: 7});

type Entry = Readonly<{startedWallMs: number; isDraining: boolean}>;
type Answer = Readonly<{instance: number; state: TargetState; sentMs: number; process: number; isLeaving: boolean; maxRefusals: number | undefined}>;
type Report = Readonly<{from: string; work: readonly TargetWork[]; createdMs: number}>;

/** The target's processes, and the instances before it. */
class Deployment {
	readonly clock = new ManualClock();
	/** Start of the process that runs now; 0 of each if starts are unknown. */
	#process = 1;
	#isLeaving = false;
	#maxRefusals: number | undefined;
	#hasBeenBrittle = false;
	/** Entries that the store has had; the last one is there now. */
	readonly #entries: Entry[] = [];
	readonly #areStartsKnown: boolean;
	readonly #instances = Array.from({length: instanceCount}, () => new TargetSet(this.clock, {connectTimeoutMs: 1, idleTimeoutMs: 1}));
	/** Processes of which an instance has itself heard that they leave, under the entry that they had. */
	readonly #heard = this.#instances.map(() => new Set<number>());
	readonly #answers: Answer[] = [];
	readonly #reports: Report[] = [];
	/** What an instance of the earlier program believes of whichever process it lists: leaving for good. */
	#earlierIsLeaving = false;
	#earlierStatedMs = 0;

	constructor(areStartsKnown: boolean) {
		this.#areStartsKnown = areStartsKnown;
		this.#register(false);
		this.#deliverEntries();
	}

	/** Runs the step with this number, as far as it is possible now. */
	async run(step: number, choice: number): Promise<void> {
		const instance = choice % instanceCount;
		if (step === 0) {
			await this.clock.advance(choice * 10);
			return;
		}

		const steps = [
			() => {
				this.#isLeaving = true;
			},
			() => {
				this.#maxRefusals = choice % 2 === 0 ? 3 : undefined;
				this.#hasBeenBrittle ||= this.#maxRefusals !== undefined;
			},
			() => {
				this.#register(this.#isLeaving && choice % 2 === 0);
			},
			() => {
				this.#restart();
			},
			() => {
				this.#deliverEntry(instance, this.#entries.length - 1 - (choice % 5 === 4 ? 1 : 0));
			},
			() => {
				this.#instances[instance]!.update([]);
			},
			() => {
				this.#send(instance);
			},
			() => {
				this.#send(instance);
				this.#receive(choice);
			},
			() => {
				this.#receive(choice);
			},
			() => {
				this.#report(instance);
			},
			() => {
				this.#deliverReport(instance, choice);
			},
			() => {
				this.#reportEarlier(choice);
			},
			() => {
				this.#earlierIsLeaving &&= choice % 2 === 0;
			},
		];
		steps[(step - 1) % steps.length]!();
	}

	/** Lets the entries, answers and reports arrive, and returns what is wrong then. */
	async settle(): Promise<readonly string[]> {
		this.#register(this.#isLeaving && this.#entries.at(-1)!.isDraining);
		while (this.#answers.length > 0) {
			this.#receive(0);
		}

		for (let ms = 0; ms < (this.#areStartsKnown ? settleMs : settleUnknownMs); ms += stepMs) {
			this.#deliverEntries();
			for (let instance = 0; instance < instanceCount; instance++) {
				this.#report(instance);
				this.#reportEarlier(0);
				for (let receiver = 0; receiver < instanceCount; receiver++) {
					for (const choice of [0, 1, this.#reports.length - 1]) {
						this.#deliverReport(receiver, choice);
					}
				}
			}

			await this.clock.advance(stepMs);
		}

		return this.#instances.flatMap((_targets, instance) => this.#checkSettled(instance));
	}

	/** Lists instances that would send a request to a process of which they have heard that it leaves. */
	checkUse(): readonly string[] {
		return this.#instances.flatMap((targets, instance) => {
			const state = targets.get('e');
			const hasHeard = this.#areStartsKnown && state && this.#heard[instance]!.has(state.target.startedWallMs);
			return hasHeard && !state.isLeaving ? [`${instance} uses a target that leaves`] : [];
		});
	}

	#checkSettled(instance: number): readonly string[] {
		const state = this.#instances[instance]!.get('e')!;
		const isUsable = !state.isLeaving && !state.isReplaced;
		const {isDraining} = this.#entries.at(-1)!;
		if (!this.#isLeaving) {
			const delayMs = state.statements.computeDelayMs(lastOfEight, {inFlight: 0, slots: 4}, this.clock.now());
			return [
				...(isUsable ? [] : [`${instance} does not use a target that serves`]),
				...(this.#hasBeenBrittle || delayMs === 0 ? [] : [`${instance} keeps to limits that the process never had`]),
			];
		}

		const isKnown = this.#areStartsKnown && this.#heard.some(heard => heard.has(this.#process));
		return isUsable && (isDraining || isKnown) ? [`${instance} uses a target that leaves, at the end`] : [];
	}

	#restart(): void {
		this.#process++;
		this.#isLeaving = false;
		this.#maxRefusals = undefined;
		this.#hasBeenBrittle = false;
	}

	#register(isDraining: boolean): void {
		this.#entries.push({startedWallMs: this.#areStartsKnown ? this.#process : 0, isDraining});
	}

	#deliverEntries(): void {
		for (let instance = 0; instance < instanceCount; instance++) {
			this.#deliverEntry(instance, this.#entries.length - 1);
		}
	}

	#deliverEntry(instance: number, index: number): void {
		const {startedWallMs, isDraining} = this.#entries[Math.max(0, index)]!;
		const target: RelayTarget = {
			id: 'e', incarnation: `e@${startedWallMs}`, startedWallMs, pool: 'p', address: '10.0.0.1:80', zone: 'z', slots: 4, isDraining, softwareVersion: 'v1', weights: new Map(),
		};
		this.#instances[instance]!.update([target]);
	}

	#send(instance: number): void {
		const state = this.#instances[instance]!.get('e');
		if (state && !state.isLeaving) {
			this.#answers.push({
				instance, state, sentMs: this.clock.now(), process: this.#process, isLeaving: this.#isLeaving, maxRefusals: this.#maxRefusals,
			});
		}
	}

	#receive(choice: number): void {
		const [answer] = this.#answers.splice(choice % Math.max(1, this.#answers.length), 1);
		if (!answer) {
			return;
		}

		const {instance, state, sentMs, process, isLeaving, maxRefusals} = answer;
		state.statements.recordAnswer({...(isLeaving && {isLeaving}), ...(maxRefusals !== undefined && {maxRefusals})}, sentMs, this.clock.now());
		this.#earlierIsLeaving ||= isLeaving;
		this.#earlierStatedMs = this.clock.now();
		if (isLeaving && state.target.startedWallMs === process) {
			this.#heard[instance]!.add(process);
		}
	}

	#report(instance: number): void {
		this.#reports.push({from: String(instance), work: this.#instances[instance]!.listWork(), createdMs: this.clock.now()});
	}

	/** Reports as the earlier program does: of its first statement, or as if the target had just stated it again. */
	#reportEarlier(choice: number): void {
		const nowMs = this.clock.now();
		this.#reports.push({
			from: 'earlier', createdMs: nowMs, work: [{
				target: 'e', requests: 0, tokens: 0, limit: {isLeaving: this.#earlierIsLeaving, ageMs: choice % 2 === 0 ? 0 : nowMs - this.#earlierStatedMs},
			}],
		});
	}

	/** Delivers a report, also a second time or long after it was sent. */
	#deliverReport(instance: number, choice: number): void {
		const report = this.#reports.at(-1 - (choice % Math.max(1, this.#reports.length)));
		if (report && report.from !== String(instance)) {
			this.#instances[instance]!.applyPeerWork(report.from, report.work, this.clock.now());
		}
	}
}

for (const areStartsKnown of [true, false]) {
	t.test(`a target that serves is used and one that leaves is not, where starts are ${areStartsKnown ? 'known' : 'unknown'}`, async t => {
		await fc.assert(fc.asyncProperty(fc.array(fc.tuple(fc.nat(13), fc.nat(300)), {maxLength: 60}), async steps => {
			const deployment = new Deployment(areStartsKnown);
			const faults: string[] = [];
			for (const [step, choice] of steps) {
				await deployment.run(step, choice);
				faults.push(...deployment.checkUse());
			}

			faults.push(...await deployment.settle());
			if (faults.length > 0) {
				throw new Error(faults.join(', '));
			}
		}), {seed, numRuns: runs});
		t.pass(`seed ${seed}, ${runs} runs`);
	});
}
