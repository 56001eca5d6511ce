"""Several controllers on one fleet: agreement, leases of groups of proxies, takeover (docs/shared.md)."""
