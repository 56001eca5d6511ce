"""A forwarder that does as its tables say: holds what was ordered, lets in by level, picks by weight. Pure."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

ALL = ""  # the class that stands for every class


@dataclass
class Forwarder:
    number: int
    zone: str
    classes: tuple[str, ...]
    tables: dict[int, dict[str, float]] = field(default_factory=dict)
    bound: dict[str, int] = field(default_factory=dict)  # table by class
    out: set[str] = field(default_factory=set)
    gates: dict[tuple[object, str], float] = field(default_factory=dict)  # by table and class

    def apply(self, order: Mapping[str, Any]) -> None:
        """An order as the relay hands it on."""
        match order["verb"]:
            case "SET" if order["share"] > 0:
                self.tables.setdefault(order["cluster"], {})[order["host"]] = order["share"]
            case "SET":
                self.tables.setdefault(order["cluster"], {}).pop(order["host"], None)
            case "DEL":
                self.tables.pop(order["cluster"], None)
            case "USE" if order["sidecar"] == self.number:
                for cls in order.get("for") or self.classes:
                    self.bound[cls] = order["cluster"]
            case "OUT":
                self.out.add(order["host"])
            case "IN":
                self.out.discard(order["host"])
            case "LIMIT":
                for cls in order.get("for") or self.classes:
                    self.gates[order["cluster"], cls] = order["gate"]

    def lines(self, cls: str) -> dict[str, float]:
        """Hosts that a request of the class may go to, and their weight."""
        table = self.tables.get(self.bound.get(cls, -1), {})
        return {host: share for host, share in table.items() if host not in self.out}

    def gate(self, cls: str) -> float:
        return self.gates.get((self.bound.get(cls, -1), cls), self.gates.get(("*", cls), 1.0))

    def pick(self, cls: str, draw: random.Random) -> str | None:
        lines = self.lines(cls)
        return draw.choices(list(lines), list(lines.values()))[0] if lines else None


def shares(forwarders: Sequence[Forwarder], cls: str) -> dict[str, float]:
    """The mean share of each host over forwarders, as a table for people."""
    out: dict[str, float] = {}
    for forwarder in forwarders:
        lines = forwarder.lines(cls)
        total = sum(lines.values())
        for host, share in lines.items():
            out[host] = out.get(host, 0.0) + share / total / len(forwarders)
    return out
