"""Start and stop: configuration, limits, logs, signals and the assembly of the director."""
