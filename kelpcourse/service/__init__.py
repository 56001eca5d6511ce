"""The controller as a process: configuration, limits, log, signals and components."""
