"""What is kept in memory: the endpoint list, joined proxies, queued orders, counters."""
