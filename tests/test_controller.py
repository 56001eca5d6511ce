"""Tests of the program over loopback: it publishes tables, withdraws endpoints, restarts and rejects bad settings."""

from __future__ import annotations

import os
import select
import signal
import socket
from pathlib import Path
from typing import Any

import orjson

from tests.deployment import (
    ENDPOINTS,
    TIMEOUT_S,
    Deployment,
    free_address,
    log_lines,
    text,
)
from tests.relays import joined
from tests.standins import listed


def test_a_controller_publishes_tables_withdraws_an_endpoint_and_stops_cleanly(
    deployment: Deployment,
) -> None:
    process = deployment.start()
    deployment.until(deployment.ping)
    deployment.events += [
        joined(0).replace(b"east", b"room-a"),
        joined(1).replace(b"east", b"room-b"),
    ]
    deployment.until(
        lambda: (
            deployment.has_order(verb="USE", sidecar=0)
            and deployment.has_order(verb="USE", sidecar=1)
        )
    )
    assert {o["host"] for o in deployment.orders if o["verb"] == "SET"} == {
        f"s-{k}" for k in range(4)
    }
    assert not deployment.has_order(verb="OUT")
    deployment.lists.append(listed(42, {**ENDPOINTS[2], "phase": "draining"}, complete=False))
    deployment.until(lambda: deployment.has_order(verb="OUT", host="s-2"))
    os.kill(process.pid, signal.SIGTERM)
    output, errors = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0
    assert errors == b""
    lines = log_lines(output)
    assert [line["event"] for line in lines][:2] == ["started", "ready"]
    assert lines[-1]["event"] == "stopped"
    assert lines[-1]["counters"]["relay_orders_accepted"] == len(deployment.orders)
    assert lines[-1]["counters"].get("unexpected_errors", 0) == 0


def test_counters_are_logged_on_request(deployment: Deployment) -> None:
    process = deployment.start()
    deployment.until(deployment.ping)
    os.kill(process.pid, signal.SIGUSR1)
    assert process.stdout is not None
    line: dict[str, Any] = {}
    while line.get("event") != "counters":
        assert select.select([process.stdout], [], [], TIMEOUT_S)[0]
        line = orjson.loads(process.stdout.readline())
    assert line["counters"]["pings"] >= 1
    assert deployment.ping()


def test_a_controller_restarts_at_the_same_address_right_after_it_was_killed(
    deployment: Deployment,
) -> None:
    process = deployment.start()
    deployment.until(deployment.ping)
    open_connection = socket.create_connection(deployment.listen)
    process.kill()
    process.communicate()
    deployment.start()
    deployment.until(deployment.ping)
    open_connection.close()


def test_a_controller_answers_while_discovery_and_relay_are_down(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path)
    deployment.config(discovery=text(free_address()), registry={"address": text(free_address())})
    deployment.start()
    deployment.until(deployment.ping)
    deployment.close()


def test_a_controller_serves_with_more_unauthenticated_clients_than_descriptors(
    deployment: Deployment,
) -> None:
    """A controller that runs out of descriptors for connections still answers pings and sends orders."""
    deployment.start(descriptors=48)
    deployment.until(deployment.ping)
    clients = [socket.create_connection(deployment.listen) for _ in range(100)]
    deployment.until(deployment.ping)
    deployment.events += [joined(0).replace(b"east", b"room-a")]
    deployment.until(lambda: deployment.has_order(verb="USE", sidecar=0))
    deployment.until(deployment.ping)
    for client in clients:
        client.close()


def test_an_invalid_configuration_is_reported_as_one_line(deployment: Deployment) -> None:
    for changes, message in [
        ({"seed": "xyz"}, b"kelpcourse: field 'seed' is not hex digits: 'xyz'\n"),
        (
            {"listen": "192.0.2.1:5000"},
            b"kelpcourse: variable NODE_LISTEN and field 'listen' differ",
        ),
    ]:
        deployment.config(**changes)
        output, errors = deployment.start().communicate(timeout=TIMEOUT_S)
        assert deployment.process is not None
        assert deployment.process.returncode == 2
        assert output == b""
        assert errors.startswith(message)
        assert errors.count(b"\n") == 1


def test_a_listen_address_of_another_host_is_a_configuration_error(
    deployment: Deployment,
) -> None:
    deployment.listen = ("192.0.2.1", 5000)
    deployment.config()
    _, errors = deployment.start().communicate(timeout=TIMEOUT_S)
    assert deployment.process is not None
    assert deployment.process.returncode == 2
    assert errors.startswith(b"kelpcourse: field 'listen': 192.0.2.1:5000: ")


def test_a_controller_starts_while_connections_of_its_stopped_predecessor_are_open(
    deployment: Deployment,
) -> None:
    deployment.start()
    deployment.until(deployment.ping)
    open_connections = [socket.create_connection(deployment.listen) for _ in range(20)]
    for peer in open_connections[:10]:
        peer.sendall(b"collector az=room-a\r\nheard az=room")  # An incomplete line
    deployment.signal(signal.SIGTERM)
    assert deployment.wait_for_exit()
    deployment.start()
    deployment.until(deployment.ping)
    for peer in open_connections:
        peer.close()
