/** Leases: time-limited rights that at most one instance holds, kept in the object store. */
export {Lease, type LeaseDeps, type LeaseOptions} from './lease.ts';
