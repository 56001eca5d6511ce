"""DNS zones as a source of the endpoint list, from zone files, zone transfers and dynamic updates (docs/zones.md)."""
