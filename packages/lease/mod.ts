/** Leases: time-limited rights that at most one instance holds, stored in the object store. */
export {Lease, type LeaseDependencies, type LeaseOptions} from './lease.ts';
