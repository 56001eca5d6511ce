"""A simulated proxy that applies orders, admits requests by ratio and picks endpoints by weight. No I/O."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from kelpcourse.memory.orders import (
    BindProxy,
    ClearTable,
    Order,
    RestoreEndpoint,
    SetAdmission,
    SetWeight,
    WithdrawEndpoint,
)

UNBOUND = -1  # Placeholder for the table of a request class without one.


@dataclass
class Proxy:
    """The state of one proxy, built from the orders that it has applied.

    Attributes:
        number: Number of the proxy.
        zone: Zone of the proxy.
        classes: Names of all request classes.
        tables: Weights of the endpoints in each table.
        bound: Table that each request class is bound to.
        withdrawn: Endpoints that are withdrawn.
        admission: Admission ratio by table and request class; the table None means all tables.
    """

    number: int
    zone: str
    classes: tuple[str, ...]
    tables: dict[int, dict[str, float]] = field(default_factory=dict)
    bound: dict[str, int] = field(default_factory=dict)
    withdrawn: set[str] = field(default_factory=set)
    admission: dict[tuple[int | None, str], float] = field(default_factory=dict)

    def apply(self, order: Order) -> None:
        """Applies an order that the relay forwards."""
        match order:
            case SetWeight(table, endpoint, weight) if weight > 0:
                self.tables.setdefault(table, {})[endpoint] = weight
            case SetWeight(table, endpoint):
                self.tables.setdefault(table, {}).pop(endpoint, None)
            case ClearTable(table):
                self.tables.pop(table, None)
            case BindProxy(self.number, table, classes):
                for request_class in classes or self.classes:
                    self.bound[request_class] = table
            case WithdrawEndpoint(endpoint):
                self.withdrawn.add(endpoint)
            case RestoreEndpoint(endpoint):
                self.withdrawn.discard(endpoint)
            case SetAdmission(any_table, classes, limit):
                for request_class in classes or self.classes:
                    self.admission[any_table, request_class] = limit

    def weights(self, request_class: str) -> dict[str, float]:
        """Returns the weight of each endpoint that requests of the class may be sent to."""
        table = self.tables.get(self.bound.get(request_class, UNBOUND), {})
        return {
            endpoint: weight for endpoint, weight in table.items() if endpoint not in self.withdrawn
        }

    def admission_ratio(self, request_class: str) -> float:
        """Returns the admission ratio of the class: of its table, or else of all tables."""
        table = self.bound.get(request_class, UNBOUND)
        default_ratio = self.admission.get((None, request_class), 1.0)
        return self.admission.get((table, request_class), default_ratio)

    def pick(self, request_class: str, rng: random.Random) -> str | None:
        """Returns an endpoint drawn by weight, or None if there is none."""
        weights = self.weights(request_class)
        if not weights:
            return None
        return rng.choices(list(weights), list(weights.values()))[0]


def mean_shares(proxies: Sequence[Proxy], request_class: str) -> dict[str, float]:
    """Returns the mean share of each endpoint over the proxies."""
    shares: dict[str, float] = {}
    for proxy in proxies:
        weights = proxy.weights(request_class)
        total = sum(weights.values())
        for endpoint, weight in weights.items():
            share = weight / total / len(proxies)
            shares[endpoint] = shares.get(endpoint, 0.0) + share
    return shares
