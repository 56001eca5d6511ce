"""Encodes actions of the policy as reply lines of the simulator's protocol.

| action | line |
| --- | --- |
| `SetTimer` | `notify_me` |
| `SetWeight`, `ClearTable` | `upsert`, `empty` |
| `BindProxy` | `point` |
| `SetAdmission` | `throttle` |
| `WithdrawEndpoint`, `RestoreEndpoint` | `bench` with `set=1`, with `set=0` |
| `Checkpoint` | `checkpoint` |
| `WatchEndpoints`, `FetchEndpoints` | `listen`, `reload` |
| `CheckHealth` | `ask_load` |
| `SendToPeer` | `notify` |
| `LogMessage` | `emit` |
| exception raised by the policy | `bail_out` |

Request classes are encoded as a bit mask of their indexes. Weights and admission ratios have six significant digits.
"""

from __future__ import annotations

from kelpcourse.policy.actions import (
    Action,
    BindProxy,
    CheckHealth,
    Checkpoint,
    ClearTable,
    FetchEndpoints,
    LogMessage,
    RestoreEndpoint,
    SendToPeer,
    SetAdmission,
    SetTimer,
    SetWeight,
    WatchEndpoints,
    WithdrawEndpoint,
)

# Value of `route_table` that addresses all tables.
ALL_TABLES = 65535


class UnsupportedActionError(ValueError):
    """Raised for an action that the simulator's protocol has no line for."""

    def __init__(self, action: Action) -> None:
        """Initializes the error with the action; the message names its type."""
        super().__init__(f"the simulator's protocol has no line for {type(action).__name__}")
        self.action = action


def one_line(text: str) -> str:
    """Returns the text on one line, with line breaks and control characters replaced by spaces.

    An empty text becomes `-`.
    """
    return "".join(ch if ch.isprintable() else " " for ch in text) or "-"


def _class_mask(classes: tuple[int, ...]) -> int:
    return sum(1 << index for index in classes)


def _order_verb_and_fields(action: Action) -> tuple[str, str]:
    """Returns the verb and the fields of an order."""
    match action:
        case SetWeight(table, endpoint, weight):
            return "upsert", f"route_table={table} host={endpoint} heft={weight:.6g}"
        case ClearTable(table):
            return "empty", f"route_table={table}"
        case BindProxy(proxy, table, classes):
            return "point", f"client_lb={proxy} route_table={table} classes={_class_mask(classes)}"
        case SetAdmission(table, classes, limit, retry_policy):
            number = ALL_TABLES if table is None else table
            return (
                "throttle",
                f"classes={_class_mask(classes)} on_failure={retry_policy.value}"
                f" quota={limit:.6g} route_table={number}",
            )
        case WithdrawEndpoint(endpoint):
            return "bench", f"set=1 host={endpoint}"
        case RestoreEndpoint(endpoint):
            return "bench", f"set=0 host={endpoint}"
        case Checkpoint(checkpoint_id, all_proxies):
            return "checkpoint", f"number={checkpoint_id} set={int(all_proxies)}"
        case _:
            raise UnsupportedActionError(action)


def _verb_and_fields(action: Action) -> tuple[str, str]:
    """Returns the verb and the fields of an action."""
    match action:
        case SetTimer(name, due_us):
            return "notify_me", f"name={name} instant_us={due_us}"
        case WatchEndpoints(enabled):
            return "listen", f"set={int(enabled)}"
        case FetchEndpoints():
            return "reload", ""
        case CheckHealth(endpoint):
            return "ask_load", f"host={endpoint}"
        case SendToPeer(peer, payload):
            addressee = "all" if peer is None else str(peer)
            return "notify", f"addressee={addressee} payload={payload.hex() or '-'}"
        case LogMessage(text):
            return "emit", f"words={one_line(text)}"
        case _:
            return _order_verb_and_fields(action)


def write_action(instance: int, action: Action) -> str:
    """Returns the reply line of an action.

    Raises:
        UnsupportedActionError: The simulator's protocol has no line for the action.
    """
    verb, fields = _verb_and_fields(action)
    head = f"{verb} director_id={instance}"
    return f"{head} {fields}" if fields else head


def write_failure(instance: int, text: str) -> str:
    """Returns the reply line that ends the simulation and gives the reason."""
    return f"bail_out director_id={instance} words={one_line(text)}"
