"""Adapter that hosts decision modules on the simulator's line protocol."""
