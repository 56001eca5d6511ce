"""Crash-safe storage: a journal of changes and snapshots, whose payloads are bytes that the caller encodes."""
