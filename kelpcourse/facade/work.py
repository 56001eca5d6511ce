"""What the policy has asked for, by endpoint name."""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpcourse.memory.orders import Order


@dataclass(frozen=True)
class HealthCheckRequest:
    """An endpoint to be checked."""

    endpoint: str
    address: tuple[str, int]


@dataclass
class Work:
    """What steps of the policy have asked for since the last pick."""

    orders: list[Order] = field(default_factory=list)
    watch: bool | None = None  # start, or restart, the watch of the endpoint list, or end it
    fetches: int = 0  # complete endpoint lists asked for
    health_checks: list[HealthCheckRequest] = field(default_factory=list)
    log_messages: list[str] = field(default_factory=list)
    steps: int = 0
    undeliverable: int = 0  # actions on endpoints that are forgotten, or that no connection carries
