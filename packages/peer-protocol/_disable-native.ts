/** Keeps `cbor-x` from loading its native part, which the single executable cannot carry; imported before `cbor-x`. */
import process from 'node:process';

process.env.CBOR_NATIVE_ACCELERATION_DISABLED = 'true';

/** Whether the native part is off. */
export const isNativeDisabled = true;
