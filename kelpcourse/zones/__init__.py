"""DNS zones as a source of the endpoint list: files, transfers and dynamic updates (docs/zones.md)."""
