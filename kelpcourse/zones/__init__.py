"""DNS zones as a source of the host list: files, transfers and dynamic updates (docs/zones.md)."""
