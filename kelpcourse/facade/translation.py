"""Translation of the policy's actions into orders to the relay, with endpoints and classes identified by name."""

from __future__ import annotations

from kelpcourse.memory import orders
from kelpcourse.memory.endpoints import EndpointRegistry
from kelpcourse.policy.actions import (
    Action,
    BindProxy,
    Checkpoint,
    ClearTable,
    RestoreEndpoint,
    SetAdmission,
    SetWeight,
    WithdrawEndpoint,
)
from kelpcourse.policy.settings import Settings


class OrderTranslator:
    """Translates actions, using the names in the endpoint registry and the settings."""

    def __init__(self, settings: Settings, endpoints: EndpointRegistry) -> None:
        """Initializes a translator.

        Args:
            settings: Settings with the names of the request classes.
            endpoints: Registry with the names of the endpoints.
        """
        self._endpoints = endpoints
        self._class_names = [request_class.name for request_class in settings.classes]

    def order_of(self, action: Action) -> orders.Order | None:
        """Returns the order for an action, or None if its endpoint's name is unknown or the relay has no such order."""
        match action:
            case SetWeight(table, endpoint, weight):
                name = self._endpoints.name_of(endpoint)
                return None if name is None else orders.SetWeight(table, name, _rounded(weight))
            case WithdrawEndpoint(endpoint):
                name = self._endpoints.name_of(endpoint)
                return None if name is None else orders.WithdrawEndpoint(name)
            case RestoreEndpoint(endpoint):
                name = self._endpoints.name_of(endpoint)
                return None if name is None else orders.RestoreEndpoint(name)
            case ClearTable(table):
                return orders.ClearTable(table)
            case BindProxy(proxy, table, classes):
                return orders.BindProxy(proxy, table, self._names_of(classes))
            case SetAdmission(table, classes, limit, retry_policy):
                return orders.SetAdmission(
                    table, self._names_of(classes), _rounded(limit), retry_policy.value
                )
            case Checkpoint(checkpoint_id, all_proxies):
                return orders.Checkpoint(checkpoint_id, all_proxies)
        return None

    def _names_of(self, classes: tuple[int, ...]) -> tuple[str, ...]:
        return tuple(self._class_names[index] for index in classes)


def _rounded(value: float) -> float:
    """Returns a value rounded to six significant digits, as many as the simulator's wire carries."""
    return float(f"{value:.6g}")
