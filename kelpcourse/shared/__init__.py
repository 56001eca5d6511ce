"""Several controllers for one fleet: Raft consensus, leases on groups of proxies, and their connections and disks."""
