"""Adapter that hosts routing policies on the simulator's line protocol."""
