"""Signals are handled at any time: during the start, together, and during calls."""

from __future__ import annotations

import os
import signal
import socket

import pytest

from tests.deployment import Deployment
from tests.relays import joined


@pytest.mark.parametrize("early", [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM])
def test_a_signal_before_the_configuration_is_read_is_handled(
    deployment: Deployment, early: signal.Signals
) -> None:
    """The handlers were installed when the loop started, so that an earlier SIGHUP ended the process."""
    complete = deployment.path.read_bytes()
    deployment.path.unlink()
    os.mkfifo(deployment.path)
    deployment.start()
    # Opening the pipe returns once the controller opens it for reading, after it has installed the handlers.
    with deployment.path.open("wb") as pipe:
        deployment.signal(early)
        deployment.path.unlink()
        deployment.path.write_bytes(complete)  # read by the reload
        pipe.write(complete)
    if early == signal.SIGTERM:
        assert deployment.wait_for_exit()[-1]["event"] == "stopped"
        return
    assert deployment.wait_for_log_event(
        "configuration_reloaded" if early == signal.SIGHUP else "counters"
    )
    deployment.until(deployment.ping)


def test_simultaneous_signals_are_all_handled_and_a_repeated_one_once(
    deployment: Deployment,
) -> None:
    deployment.start()
    deployment.until(deployment.ping)
    deployment.signal(
        signal.SIGSTOP,
        signal.SIGTERM,
        signal.SIGUSR1,
        signal.SIGHUP,
        signal.SIGTERM,
        signal.SIGCONT,
    )
    events = [line["event"] for line in deployment.wait_for_exit()]
    assert {"configuration_reloaded", "counters", "stopped"} <= set(events)
    assert events.count("stopped") == 1


def test_sigterm_ends_the_process_while_a_call_is_unanswered(deployment: Deployment) -> None:
    """Queued orders may be dropped: after SIGTERM, proxies join another controller, which binds them."""
    deployment.relay_is_silent = True
    deployment.start()
    deployment.until(deployment.ping)
    deployment.events += [joined(0).replace(b"east", b"room-a")]
    deployment.until(lambda: deployment.orders)
    deployment.signal(signal.SIGTERM)
    assert deployment.wait_for_exit()[-1]["counters"].get("relay_orders_accepted", 0) == 0


def test_sigterm_ends_the_process_while_its_address_is_still_in_use(
    deployment: Deployment,
) -> None:
    with socket.create_server(deployment.listen):
        deployment.start()
        assert deployment.wait_for_log_event("address_in_use")
        deployment.signal(signal.SIGTERM)
        assert deployment.wait_for_exit()[-1]["event"] == "stopped"
