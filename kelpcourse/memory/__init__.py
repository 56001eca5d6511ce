"""State that is kept in memory: the endpoint list, joined proxies, queued orders and counters."""
