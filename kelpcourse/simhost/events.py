"""Decodes event lines of the simulator into events of the policy.

| line | event |
| --- | --- |
| `timeout_fired` | `TimerFired` |
| `subscribed`, `detached` | `ProxyJoined`, `ProxyLeft` |
| `acked` | `OrdersAcknowledged` |
| `stats` | `EndpointReport` |
| `traffic`, `slice_load` | `DemandReport`, `SliceDemand` |
| `echo` | `HealthCheckCompleted` |
| `datagram` | `PeerMessage` |
| `leased`, `in_store` | `SliceLeased`, `SliceWeight` |
| `members` | `EndpointList`, whose entries were sent earlier as `sheet` and `item` lines |

| field | meaning |
| --- | --- |
| `client_lb`, `host`, `who` | number of a proxy, an endpoint, a peer |
| `route_table` | number of a table or of a slice |
| `az`, `sku`, `unit_group` | zone, kind, cell |
| `cls` | request class, by name |
| `heft` | weight; for a proxy, its request rate |
| `mode`, `state_code` | status of an endpoint, of a health check |
| `number`, `failed` | a count and how many of it failed; for `acked`, `number` is the number of a checkpoint |
| `elapsed_us`, `wait_time_us` | window of a report and latency, in microseconds |
| `usage` | load report |
| `set` | boolean |
"""

from __future__ import annotations

from collections.abc import Callable

from kelpcourse.fields import FieldError, Fields
from kelpcourse.policy.events import (
    DemandReport,
    Endpoint,
    EndpointListKind,
    EndpointReport,
    EndpointStatus,
    Event,
    HealthCheckCompleted,
    HealthCheckStatus,
    OrdersAcknowledged,
    PeerMessage,
    ProxyJoined,
    ProxyLeft,
    SliceDemand,
    SliceLeased,
    SliceWeight,
    TimerFired,
)
from kelpcourse.policy.settings import Settings

ENDPOINT_STATUSES = {
    "SERVING": EndpointStatus.READY,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.GONE,
}
LIST_KINDS = {
    "update": EndpointListKind.CHANGES,
    "replace": EndpointListKind.FULL,
    "restored": EndpointListKind.RESTORED,
    "unavailable": EndpointListKind.UNAVAILABLE,
}
HEALTH_CHECK_STATUSES = {
    "Ok": HealthCheckStatus.OK,
    "Failed": HealthCheckStatus.ERROR,
    "QueueFull": HealthCheckStatus.FULL,
    "TimedOut": HealthCheckStatus.TIMEOUT,
    "ConnectError": HealthCheckStatus.CONNECT_FAILED,
    "ResetByPeer": HealthCheckStatus.RESET,
    "Canceled": HealthCheckStatus.CANCELLED,
    "Ignored": HealthCheckStatus.UNNECESSARY,
}
EMPTY_PAYLOAD = "-"


def read_endpoint(fields: Fields) -> Endpoint:
    """Decodes an entry of an endpoint list.

    Raises:
        FieldError: A field is missing or invalid.
    """
    return Endpoint(
        id=fields.count("host"),
        zone=fields.text("az"),
        kind=fields.text("sku"),
        cell=fields.integer("unit_group"),
        weight=fields.number("heft"),
        status=fields.choice("mode", ENDPOINT_STATUSES),
        started_us=fields.integer("started_at_us") if fields.has("started_at_us") else 0,
    )


def _class_index(fields: Fields, settings: Settings) -> int:
    name = fields.text("cls")
    for index, request_class in enumerate(settings.classes):
        if request_class.name == name:
            return index
    raise FieldError("cls", f"is not a request class: '{name}'")


def _timer_fired(fields: Fields, _: Settings) -> Event:
    return TimerFired(fields.text("name"))


def _proxy_joined(fields: Fields, _: Settings) -> Event:
    return ProxyJoined(
        proxy=fields.count("client_lb"),
        zone=fields.text("az"),
        request_rate_per_s=fields.number("heft"),
        has_no_table=fields.boolean("set"),
    )


def _proxy_left(fields: Fields, _: Settings) -> Event:
    return ProxyLeft(fields.count("client_lb"))


def _acknowledged(fields: Fields, _: Settings) -> Event:
    return OrdersAcknowledged(
        proxy=fields.count("client_lb"),
        checkpoint_id=fields.count("number"),
        latency_us=fields.count("wait_time_us"),
    )


def _endpoint_report(fields: Fields, _: Settings) -> Event:
    return EndpointReport(
        endpoint=fields.count("host"),
        zone=fields.text("az"),
        attempts=fields.count("number"),
        failed=fields.count("failed"),
        window_us=fields.count("elapsed_us"),
        mean_success_us=fields.count("wait_time_us"),
        load=fields.load("usage"),
    )


def _demand_report(fields: Fields, settings: Settings) -> Event:
    return DemandReport(
        proxy=fields.count("client_lb"),
        class_index=_class_index(fields, settings),
        arrivals=fields.count("number"),
        unanswered=fields.count("failed"),
        window_us=fields.count("elapsed_us"),
    )


def _slice_demand(fields: Fields, settings: Settings) -> Event:
    return SliceDemand(
        slice=fields.count("route_table"),
        class_index=_class_index(fields, settings),
        arrivals=fields.count("number"),
        unanswered=fields.count("failed"),
        window_us=fields.count("elapsed_us"),
    )


def _health_check(fields: Fields, _: Settings) -> Event:
    return HealthCheckCompleted(
        endpoint=fields.count("host"),
        status=fields.choice("state_code", HEALTH_CHECK_STATUSES),
        latency_us=fields.count("wait_time_us"),
        load=fields.load("usage"),
    )


def _peer_message(fields: Fields, _: Settings) -> Event:
    payload = fields.text("payload")
    try:
        data = b"" if payload == EMPTY_PAYLOAD else bytes.fromhex(payload)
    except ValueError as error:
        raise FieldError("payload", f"is not hexadecimal: '{payload}'") from error
    return PeerMessage(sender=fields.count("who"), payload=data)


def _slice_leased(fields: Fields, _: Settings) -> Event:
    return SliceLeased(slice=fields.count("route_table"), is_held=fields.boolean("set"))


def _slice_weight(fields: Fields, _: Settings) -> Event:
    return SliceWeight(
        slice=fields.count("route_table"),
        endpoint=fields.count("host"),
        weight=fields.number("heft"),
    )


EVENT_DECODERS: dict[str, Callable[[Fields, Settings], Event]] = {
    "timeout_fired": _timer_fired,
    "subscribed": _proxy_joined,
    "detached": _proxy_left,
    "acked": _acknowledged,
    "stats": _endpoint_report,
    "traffic": _demand_report,
    "slice_load": _slice_demand,
    "echo": _health_check,
    "datagram": _peer_message,
    "leased": _slice_leased,
    "in_store": _slice_weight,
}
