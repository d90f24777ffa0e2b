/**
 * Membership: which instances are live, suspect, leaving or gone, the
 * connections between them, and the bus over these connections.
 */
export {Membership} from './membership.ts';
export type {InstanceStatus, MembershipDependencies, MembershipOptions} from './types.ts';
export {MemberTable, mergeRecords} from './member-table.ts';
export {chooseNeighbours, maxFullMeshPeers, type NeighbourOptions} from './choose-neighbours.ts';
export {pollInstanceList, type PollInstanceListDependencies} from './poll-instance-list.ts';
