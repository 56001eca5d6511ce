"""Routing decisions: pure functions of settings and events that return actions, without input or output."""
