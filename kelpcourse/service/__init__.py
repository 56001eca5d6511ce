"""Start and stop of the controller: configuration, limits, log, signals and the components."""
