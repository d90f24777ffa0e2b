/** What a role of a bench tells once it listens. */
import * as z from 'zod';

/** Schema of {@link RoleReady}. */
export const roleReadySchema = z.object({
	address: z.string(), platform: z.string().optional(), targets: z.array(z.string()).optional(), gapMs: z.number().optional(),
});

/** Where a role listens. */
export type RoleReady = Readonly<z.infer<typeof roleReadySchema>>;
