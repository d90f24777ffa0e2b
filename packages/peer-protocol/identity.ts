/** Identity and address of an instance. The receiver checks them against the schema. */
import * as z from 'zod';

const maxNameLength = 200;

/** Schema of an instance's identity. */
export const peerIdentitySchema = z.object({
	name: z.string().min(1).max(maxNameLength),
	zone: z.string().max(maxNameLength),
	/** Changes each time the process starts. */
	incarnation: z.string().min(1).max(maxNameLength),
	/** `host:port` at which the instance accepts peer connections. */
	address: z.string().max(maxNameLength),
});

/** How an instance identifies itself to its peers. */
export type PeerIdentity = Readonly<z.infer<typeof peerIdentitySchema>>;
