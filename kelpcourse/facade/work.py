"""Work that the policy has requested, with endpoints identified by name."""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpcourse.memory.orders import Order


@dataclass(frozen=True)
class HealthCheckRequest:
    """A request to check the health of an endpoint."""

    endpoint: str
    address: tuple[str, int]


@dataclass
class Work:
    """Work that steps of the policy have requested since it was last collected.

    Attributes:
        orders: Orders to the relay, in the order in which the policy returned them.
        watch: Whether to start, or restart, the watch of the endpoint list (True) or to end it (False). None if the
            watch stays as it is.
        fetches: Number of requests for the complete endpoint list.
        health_checks: Health checks to be made.
        log_messages: Texts to be logged for the policy.
        steps: Number of steps that were run.
        undeliverable: Number of actions that could not be carried out, because their endpoint's name is unknown or the
            endpoint is not listed, because no connection supports them, or because too many timers are pending.
    """

    orders: list[Order] = field(default_factory=list)
    watch: bool | None = None
    fetches: int = 0
    health_checks: list[HealthCheckRequest] = field(default_factory=list)
    log_messages: list[str] = field(default_factory=list)
    steps: int = 0
    undeliverable: int = 0
