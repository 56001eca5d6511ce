"""Stand-ins for what is round a director, on loopback: a relay with forwarders, hosts, discovery, a DNS primary."""
