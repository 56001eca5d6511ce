"""Routing decisions as functions of settings and events that return actions, without input or output."""
