/** Message that a child process of a bench sends once it listens. */
import * as z from 'zod';

export const roleReadySchema = z.object({
	address: z.string(), platform: z.string().optional(), targets: z.array(z.string()).optional(), gapMs: z.number().optional(),
});

/** Addresses of a role; `gapMs` is an option that the parent process passes to it. */
export type RoleReady = Readonly<z.infer<typeof roleReadySchema>>;
