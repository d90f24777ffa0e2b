/** Commits a conditional update, and finds out whether it took effect when its answer was lost. */
import type {ObjectStore, StoreFailure, StoredObject} from './object-store.ts';
import {fail, succeed, type Result} from '#core';

/** A conditional update of one object. */
export type Change = Readonly<{
	key: string;
	/** New value. It must contain a nonce, so that no other writer can have written the same text. */
	value: string;
	/** Version that the object must have for the update to apply; 0 means that it must not exist. */
	ifVersion: number;
}>;

/** Outcome of a conditional update. */
export type ChangeOutcome
	= | Readonly<{kind: 'committed'; version: number}>
		/** Another writer changed the object first; `current` is absent if the object does not exist. */
		| Readonly<{kind: 'conflict'; current?: StoredObject}>;

const maxAttempts = 3;

/** Failures after which the object shows whether the update took effect. */
const readBackKinds: ReadonlySet<StoreFailure['kind']> = new Set(['unknown', 'conflict', 'epoch_changed']);

/**
 * Commits a conditional update. After a lost answer or a conflict it reads the
 * object back: if the object holds the same text, the update took effect.
 *
 * @returns a failure of kind `unknown` if the update may have taken effect or may still take effect
 */
export async function commitChange(platform: ObjectStore, change: Change): Promise<Result<ChangeOutcome, StoreFailure>> {
	const {key, value, ifVersion} = change;
	let isUncertain = false;
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const put = await platform.put(key, value, {ifVersion});
		if (put.ok) {
			return succeed({kind: 'committed', version: put.value.version});
		}

		if (!readBackKinds.has(put.error.kind)) {
			return fail(isUncertain ? {...put.error, kind: 'unknown'} : put.error);
		}

		isUncertain ||= put.error.kind !== 'conflict';
		const stored = await platform.get(key);
		if (!stored.ok) {
			return fail(isUncertain ? {...stored.error, kind: 'unknown'} : stored.error);
		}

		const current = stored.value;
		if (current?.value === value) {
			return succeed({kind: 'committed', version: current.version});
		}

		if ((current?.version ?? 0) !== ifVersion) {
			return succeed({kind: 'conflict', current});
		}
	}

	return fail({kind: isUncertain ? 'unknown' : 'conflict', detail: `${key} could not be committed in ${maxAttempts} attempts`});
}
