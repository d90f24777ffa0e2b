/** Prevents `cbor-x` from loading its native add-on, which the single-file executable cannot contain. Import this module before `cbor-x`. */
import process from 'node:process';

process.env.CBOR_NATIVE_ACCELERATION_DISABLED = 'true';

/** Whether the native add-on is disabled. */
export const isNativeDisabled = true;
