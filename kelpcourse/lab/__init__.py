"""Stand-ins for the surroundings of a controller, on loopback: relay, proxies, endpoints, discovery, DNS primary."""
