"""Routing tables: their layout, their entries and the proxies bound to them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import product

from kelpcourse.policy.arithmetic import US_PER_S
from kelpcourse.policy.endpoints import EndpointSelector
from kelpcourse.policy.settings import EndpointId, ProxyId, RequestClass, Settings, TableId
from kelpcourse.policy.subsetting import subset_of

ALL_BINDINGS_GRACE_SHARE = 0.75  # part of a drain's grace in which all proxies can be bound
MIN_TABLE_ENTRIES = 12.0
CONNECTION_SHARE = 0.5  # usable part of the connections that the smallest endpoint accepts
SUBSETS_PER_ENDPOINT = 2.0  # mean number of subsets that contain an endpoint
UNBOUND_SHARE_FACTOR = 1.3  # entries of an unbound proxy, as a multiple of a subset's share

ClassPositions = list[int]


@dataclass(frozen=True)
class TableKey:
    """The properties that request classes and proxies must have in common to share a table."""

    selector: EndpointSelector
    proxy_zone: str  # empty if proxies of all zones share the table


class RoutingTables:
    """The layout of the tables, the ordered entries and the proxies bound to each table."""

    def __init__(self, settings: Settings) -> None:
        """Lays out empty tables for an unknown number of endpoints."""
        self._settings = settings
        per_proxy = ALL_BINDINGS_GRACE_SHARE * (settings.delivery_entries_per_s / US_PER_S)
        self.max_binding_entries = (
            per_proxy * settings.drain_grace_us / settings.proxy_count
            - settings.message_overhead_entries
        )
        self.lay_out(0)

    def lay_out(self, endpoint_count: int) -> None:
        """Lays out empty tables, of all endpoints or of subsets of them, depending on their number."""
        self.subset_share = self._subset_share(endpoint_count)
        self.subset_count = 1
        if self.subset_share < 1:
            self.subset_count = round(SUBSETS_PER_ENDPOINT / self.subset_share + 0.5)
        self.unbound_share = min(1.0, UNBOUND_SHARE_FACTOR * self.subset_share)
        self.ids_by_key: dict[TableKey, list[TableId]] = {}
        self.classes_by_zone: dict[str, list[dict[TableId, ClassPositions]]] = {
            zone: [{} for _ in range(self.subset_count)] for zone in self._settings.zones
        }
        for zone, (position, request_class) in product(
            self._settings.zones, enumerate(self._settings.classes)
        ):
            self._add_class(zone, position, request_class)
        table_ids = [table for ids in self.ids_by_key.values() for table in ids]
        self.entries: dict[TableId, dict[EndpointId, float]] = {table: {} for table in table_ids}
        self.bound_proxies: dict[TableId, dict[ProxyId, int]] = {table: {} for table in table_ids}
        # Latest ordered admission ratio by table and position of the class.
        self.admission_sent: dict[tuple[TableId, int], float] = {}
        self.ids_by_class = [
            self._table_ids_of_class(position) for position in range(len(self._settings.classes))
        ]

    def is_unused(self) -> bool:
        """Returns whether no table has an entry or a bound proxy, so that the layout may change."""
        return not any(self.entries.values()) and not any(self.bound_proxies.values())

    def tables_of(self, proxy: ProxyId, zone: str) -> dict[TableId, ClassPositions]:
        """Returns the tables of a proxy with the classes that each of them serves."""
        subsets = self.classes_by_zone.get(zone)
        return subsets[subset_of(proxy, self.subset_count)] if subsets else {}

    def containing(self, endpoint: EndpointId) -> list[TableId]:
        """Returns the tables with an entry of the endpoint."""
        return [table for table, entries in self.entries.items() if endpoint in entries]

    def has_entry(self, endpoint: EndpointId) -> bool:
        """Returns whether any table has an entry of the endpoint."""
        return any(endpoint in entries for entries in self.entries.values())

    def mean_size(self) -> float:
        """Returns the mean number of entries of a table."""
        return sum(map(len, self.entries.values())) / len(self.entries)

    def max_binding_entries_of_proxy(self) -> int:
        """Returns the largest number of entries that the bindings of a proxy to all its tables add."""
        return max(
            (
                sum(
                    1 + len(self.entries[table]) + len(classes) for table, classes in tables.items()
                )
                for subsets in self.classes_by_zone.values()
                for tables in subsets
            ),
            default=0,
        )

    def set_entry(self, table: TableId, endpoint: EndpointId, weight: float) -> None:
        """Sets the entry of an endpoint and moves it to the end of the table; a weight of 0 removes it."""
        self.entries[table].pop(endpoint, None)
        if weight > 0:
            self.entries[table][endpoint] = weight

    def unbind(self, proxy: ProxyId) -> None:
        """Removes a proxy from the bound proxies of all tables."""
        for bound_proxies in self.bound_proxies.values():
            bound_proxies.pop(proxy, None)

    def class_count(self, table: TableId) -> int:
        """Returns the number of request classes that a table serves."""
        return sum(table in tables for tables in self.ids_by_class)

    def is_bound_to_all(self, proxy: ProxyId, tables: Iterable[TableId]) -> bool:
        """Returns whether the proxy is bound to all of these tables."""
        return all(proxy in self.bound_proxies[table] for table in tables)

    def _subset_share(self, endpoint_count: int) -> float:
        """Returns the share of the endpoints that are in the subset of a proxy."""
        settings = self._settings
        max_entries = max(MIN_TABLE_ENTRIES, self.max_binding_entries)
        share = min(1.0, max_entries / max(1, endpoint_count))
        if 0 < settings.min_endpoint_connections < settings.proxy_count:
            by_connections = (
                CONNECTION_SHARE * settings.min_endpoint_connections / settings.proxy_count
            )
            share = min(share, by_connections)
        return share

    def _add_class(self, zone: str, position: int, request_class: RequestClass) -> None:
        bound_zone = zone if request_class.same_zone_only else ""
        selector = EndpointSelector.of_class(request_class, bound_zone)
        key = TableKey(selector, zone if self.subset_share < 1 else "")
        if key not in self.ids_by_key:
            first = len(self.ids_by_key) * self.subset_count
            self.ids_by_key[key] = list(range(first, first + self.subset_count))
        for subset, table in enumerate(self.ids_by_key[key]):
            classes = self.classes_by_zone[zone][subset]
            classes.setdefault(table, []).append(position)

    def _table_ids_of_class(self, position: int) -> set[TableId]:
        return {
            table
            for subsets in self.classes_by_zone.values()
            for classes in subsets
            for table in classes
            if position in classes[table]
        }
