"""What is kept in memory: hosts and their names, joined proxies, orders not yet taken, counters."""
