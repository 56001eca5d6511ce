"""SIGHUP: the running controller applies its configuration file, and continues if the file cannot be used."""

from __future__ import annotations

import signal
from functools import partial

from tests.deployment import ENDPOINTS, Deployment
from tests.relays import joined
from tests.standins import HttpServer, listed


def test_a_reload_reconnects_to_new_addresses_and_rebinds_no_proxy(
    deployment: Deployment,
) -> None:
    deployment.start()
    deployment.until(deployment.ping)
    deployment.events += [joined(0).replace(b"east", b"room-a")]
    deployment.until(lambda: deployment.has_order(verb="USE", sidecar=0))
    for version in (42, 43):
        old = (deployment.relay, deployment.discovery)
        deployment.move_relay_and_discovery()
        deployment.until(
            lambda: deployment.relay.connections >= 2 and deployment.discovery.connections
        )
        for server in old:
            server.close()
        draining = ENDPOINTS[version - 41]
        deployment.lists.append(listed(version, {**draining, "phase": "draining"}, complete=False))
        deployment.until(partial(deployment.has_order, verb="OUT", host=draining["id"]))
    deployment.events += [joined(1).replace(b"east", b"room-b")]
    deployment.until(lambda: deployment.has_order(verb="USE", sidecar=1))
    bound = [o["cluster"] for o in deployment.orders if o["verb"] == "USE" and o["sidecar"] == 0]
    assert len(bound) == len(set(bound))
    assert deployment.ping()


def test_the_configuration_is_kept_if_a_reload_finds_an_unusable_file(
    deployment: Deployment,
) -> None:
    deployment.start()
    deployment.until(deployment.ping)
    unusable: list[tuple[dict[str, object], str]] = [
        ({"seed": "xyz"}, "field 'seed' is not hex digits: 'xyz'"),
        ({"registry": {}}, "field 'registry.address' is missing, empty or not a string"),
    ]
    for changes, reason in unusable:
        deployment.config(**changes)
        deployment.reload()
        # The previous reload may still log its last retry.
        while deployment.wait_for_log_event("configuration_reload_failed")["reason"] != reason:
            pass
    deployment.path.write_bytes(b'{"name": ')
    deployment.reload()
    while "not JSON" not in deployment.wait_for_log_event("configuration_reload_failed")["reason"]:
        pass
    deployment.events += [joined(0).replace(b"east", b"room-a")]
    deployment.until(lambda: deployment.has_order(verb="USE", sidecar=0))


def test_a_reload_logs_the_fields_that_require_a_restart(deployment: Deployment) -> None:
    deployment.start()
    deployment.until(deployment.ping)
    deployment.config(limits={"memory_mb": 33, "sockets": 512})
    deployment.reload()
    line = deployment.wait_for_log_event("configuration_reloaded")
    assert (line["changed"], line["requires_restart"]) == ([], ["sockets", "memory_mb"])
    deployment.move_relay_and_discovery()
    assert deployment.wait_for_log_event("configuration_reloaded")["changed"] == [
        "discovery",
        "relay",
    ]


FAILING_SOURCE = """
import os, sys
from kelpcourse.service.controller import main
class Source:
    def start(self): pass
    def close(self): pass
    def reread(self): raise KeyError("unforeseen")
    def watch(self, on): pass
    def fetch(self): pass
    def reconnect_to(self, address): pass
sys.exit(main(os.environ, lambda runtime, settings, supervise: Source()))
"""


def test_an_unexpected_error_in_a_reload_does_not_stop_signal_handling(
    deployment: Deployment,
) -> None:
    """The error ended the coroutine that handles signals, so that a later SIGTERM was not handled."""
    deployment.start(program=FAILING_SOURCE)
    deployment.until(deployment.ping)
    deployment.reload()
    assert "unforeseen" in deployment.wait_for_log_event("unexpected_error")["error"]
    deployment.reload()
    assert "unforeseen" in deployment.wait_for_log_event("unexpected_error")["error"]
    deployment.signal(signal.SIGTERM)
    assert deployment.wait_for_exit()[-1]["event"] == "stopped"


def test_a_configuration_that_is_being_replaced_is_read_once_it_is_complete(
    deployment: Deployment,
) -> None:
    """A controller that read an incomplete file stayed connected to addresses that were about to be closed."""
    deployment.start()
    deployment.until(deployment.ping)
    deployment.path.write_bytes(deployment.path.read_bytes()[:200])
    deployment.reload()
    assert deployment.wait_for_log_event("configuration_reload_failed")["will_retry"] is True
    deployment.discovery = HttpServer(deployment.loop, deployment._serve_discovery)
    deployment.config()
    assert deployment.wait_for_log_event("configuration_reloaded")["changed"] == ["discovery"]
    deployment.until(lambda: deployment.discovery.connections)
