"""Simulated environment of a controller on loopback: relay, proxies, endpoints, discovery and DNS primary."""
