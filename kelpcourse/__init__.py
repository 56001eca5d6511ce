"""kelpcourse: a controller that publishes routing tables to a fleet of proxies."""
