"""Translating event lines into the module's events."""

from __future__ import annotations

from collections.abc import Callable

from kelpcourse.fields import Fields, WireError
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

STATES = {
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
STATUSES = {
    "Ok": HealthCheckStatus.OK,
    "Failed": HealthCheckStatus.ERROR,
    "QueueFull": HealthCheckStatus.FULL,
    "TimedOut": HealthCheckStatus.TIMEOUT,
    "ConnectError": HealthCheckStatus.CONNECT_FAILED,
    "ResetByPeer": HealthCheckStatus.RESET,
    "Canceled": HealthCheckStatus.CANCELLED,
    "Ignored": HealthCheckStatus.UNNECESSARY,
}


def read_host(fields: Fields) -> Endpoint:
    return Endpoint(
        id=fields.count("host"),
        zone=fields.text("az"),
        kind=fields.text("sku"),
        cell=fields.integer("unit_group"),
        weight=fields.number("heft"),
        status=fields.choice("mode", STATES),
        started_us=fields.integer("started_at_us") if fields.has("started_at_us") else 0,
    )


def _class_position(fields: Fields, settings: Settings) -> int:
    name = fields.text("cls")
    for position, cls in enumerate(settings.classes):
        if cls.name == name:
            return position
    raise WireError(f"field 'cls' names no class: '{name}'")


def _joined(f: Fields, _: Settings) -> Event:
    return ProxyJoined(f.count("client_lb"), f.text("az"), f.number("heft"), f.boolean("set"))


def _report(f: Fields, _: Settings) -> Event:
    return EndpointReport(
        f.count("host"),
        f.text("az"),
        f.count("number"),
        f.count("failed"),
        f.count("elapsed_us"),
        f.count("wait_time_us"),
        f.load("usage"),
    )


def _traffic(f: Fields, settings: Settings) -> Event:
    return DemandReport(
        f.count("client_lb"),
        _class_position(f, settings),
        f.count("number"),
        f.count("failed"),
        f.count("elapsed_us"),
    )


def _slice_load(f: Fields, settings: Settings) -> Event:
    return SliceDemand(
        f.count("route_table"),
        _class_position(f, settings),
        f.count("number"),
        f.count("failed"),
        f.count("elapsed_us"),
    )


def _echo(f: Fields, _: Settings) -> Event:
    return HealthCheckCompleted(
        f.count("host"), f.choice("state_code", STATUSES), f.count("wait_time_us"), f.load("usage")
    )


def _datagram(f: Fields, _: Settings) -> Event:
    payload = f.text("payload")
    try:
        data = b"" if payload == "-" else bytes.fromhex(payload)
    except ValueError:
        raise WireError(f"field 'payload' is not hex: '{payload}'") from None
    return PeerMessage(f.count("who"), data)


READERS: dict[str, Callable[[Fields, Settings], Event]] = {
    "timeout_fired": lambda f, _: TimerFired(f.text("name")),
    "subscribed": _joined,
    "detached": lambda f, _: ProxyLeft(f.count("client_lb")),
    "acked": lambda f, _: OrdersAcknowledged(
        f.count("client_lb"), f.count("number"), f.count("wait_time_us")
    ),
    "stats": _report,
    "traffic": _traffic,
    "slice_load": _slice_load,
    "echo": _echo,
    "datagram": _datagram,
    "leased": lambda f, _: SliceLeased(f.count("route_table"), f.boolean("set")),
    "in_store": lambda f, _: SliceWeight(f.count("route_table"), f.count("host"), f.number("heft")),
}
