/** Who an instance is, checked on arrival. */
import * as z from 'zod';

const maxNameLength = 200;

/** Schema of an instance's identity. */
export const peerSchema = z.object({
	name: z.string().min(1).max(maxNameLength),
	zone: z.string().max(maxNameLength),
	/** Changes at each start of the process. */
	incarnation: z.string().min(1).max(maxNameLength),
	/** `host:port` of the inner protocol. */
	address: z.string().max(maxNameLength),
});

/** Identity and address of an instance. */
export type PeerIdentity = Readonly<z.infer<typeof peerSchema>>;
