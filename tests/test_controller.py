"""The real program on loopback: it publishes tables, follows a drain, restarts and refuses bad settings."""

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


def test_a_controller_publishes_tables_follows_a_drain_and_ends_cleanly(
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


def test_it_restarts_at_the_same_address_right_after_a_kill(
    deployment: Deployment,
) -> None:
    process = deployment.start()
    deployment.until(deployment.ping)
    held = socket.create_connection(deployment.listen)
    process.kill()
    process.communicate()
    deployment.start()
    deployment.until(deployment.ping)
    held.close()


def test_it_answers_while_discovery_and_relay_are_down(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path)
    deployment.config(discovery=text(free_address()), registry={"address": text(free_address())})
    deployment.start()
    deployment.until(deployment.ping)
    deployment.close()


def test_more_unauthenticated_clients_than_descriptors_do_not_stop_it(
    deployment: Deployment,
) -> None:
    """More connections than it has descriptors for: it answers and sends orders all the same."""
    deployment.start(descriptors=48)
    deployment.until(deployment.ping)
    crowd = [socket.create_connection(deployment.listen) for _ in range(100)]
    deployment.until(deployment.ping)
    deployment.events += [joined(0).replace(b"east", b"room-a")]
    deployment.until(lambda: deployment.has_order(verb="USE", sidecar=0))
    deployment.until(deployment.ping)
    for client in crowd:
        client.close()


def test_a_bad_configuration_is_one_plain_message(deployment: Deployment) -> None:
    for changes, message in [
        ({"seed": "xyz"}, b"kelpcourse: field 'seed' is not a hexadecimal number: 'xyz'\n"),
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


def test_an_address_of_another_machine_is_a_configuration_error(
    deployment: Deployment,
) -> None:
    deployment.listen = ("192.0.2.1", 5000)
    deployment.config()
    _, errors = deployment.start().communicate(timeout=TIMEOUT_S)
    assert deployment.process is not None
    assert deployment.process.returncode == 2
    assert errors.startswith(b"kelpcourse: field 'listen': 192.0.2.1:5000: ")


def test_a_successor_starts_while_connections_of_its_predecessor_end(
    deployment: Deployment,
) -> None:
    deployment.start()
    deployment.until(deployment.ping)
    held = [socket.create_connection(deployment.listen) for _ in range(20)]
    for peer in held[:10]:
        peer.sendall(b"collector az=room-a\r\nheard az=room")  # half a line
    deployment.signal(signal.SIGTERM)
    assert deployment.wait_for_exit()
    deployment.start()
    deployment.until(deployment.ping)
    for peer in held:
        peer.close()
