"""kelpcourse: a director that publishes routing tables to a fleet of proxies."""
