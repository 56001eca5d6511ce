"""State that survives crashes: a journal of changes and snapshots, for any part that hands over bytes."""
