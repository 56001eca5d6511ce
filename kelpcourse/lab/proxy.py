"""A proxy that does as its tables say: keeps what was ordered, admits by ratio, picks by weight. No I/O."""

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

UNBOUND = -1  # a table that there is not


@dataclass
class Proxy:
    """What one proxy has been ordered."""

    number: int
    zone: str
    classes: tuple[str, ...]
    tables: dict[int, dict[str, float]] = field(default_factory=dict)  # weight by endpoint
    bound: dict[str, int] = field(default_factory=dict)  # table by class
    withdrawn: set[str] = field(default_factory=set)
    admission: dict[tuple[int | None, str], float] = field(default_factory=dict)  # None: all tables

    def apply(self, order: Order) -> None:
        """Applies an order as the relay hands it on."""
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
        """Weights of the endpoints that a request of the class may go to."""
        table = self.tables.get(self.bound.get(request_class, UNBOUND), {})
        return {
            endpoint: weight for endpoint, weight in table.items() if endpoint not in self.withdrawn
        }

    def admission_ratio(self, request_class: str) -> float:
        """The part of the class's requests that is admitted: by its table, else by all tables."""
        table = self.bound.get(request_class, UNBOUND)
        of_all_tables = self.admission.get((None, request_class), 1.0)
        return self.admission.get((table, request_class), of_all_tables)

    def pick(self, request_class: str, draw: random.Random) -> str | None:
        """Draws an endpoint by weight; None: there is none."""
        weights = self.weights(request_class)
        if not weights:
            return None
        return draw.choices(list(weights), list(weights.values()))[0]


def mean_shares(proxies: Sequence[Proxy], request_class: str) -> dict[str, float]:
    """The mean share of each endpoint over proxies, as a table for people."""
    shares: dict[str, float] = {}
    for proxy in proxies:
        weights = proxy.weights(request_class)
        total = sum(weights.values())
        for endpoint, weight in weights.items():
            share = weight / total / len(proxies)
            shares[endpoint] = shares.get(endpoint, 0.0) + share
    return shares
