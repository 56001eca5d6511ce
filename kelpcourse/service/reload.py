"""Reloading of the configuration while the controller runs."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from kelpcourse.service.config import Config, ConfigError, reread_config
from kelpcourse.wire.loop import Coroutine, Task, Wait
from kelpcourse.wire.runtime import Runtime


class ConfigReloader:
    """Reads the configuration file on request and, if it cannot be used, retries for a limited time.

    A file that is being replaced may be incomplete for a moment, and no second signal follows once it is complete.
    """

    def __init__(
        self,
        runtime: Runtime,
        environment: Mapping[str, str],
        reread_source: Callable[[], None],
        apply: Callable[[Config], None],
    ) -> None:
        """Initializes a reloader.

        Args:
            runtime: Clock, limits, log and loop.
            environment: Environment variables with which the configuration is read.
            reread_source: Called before each reload so that the source of the endpoint list reloads too.
            apply: Called with the configuration once it has been read.
        """
        self._runtime = runtime
        self._environment = environment
        self._reread_source = reread_source
        self._apply = apply
        self._task: Task | None = None

    def reload(self) -> None:
        """Begins a reload. A reload that is being retried is cancelled, because the file may have changed since."""
        loop = self._runtime.loop
        if self._task is not None:
            loop.stop(self._task)
        self._task = loop.start("reload", self._run())

    def _run(self) -> Coroutine[None]:
        self._reread_source()
        limits, clock = self._runtime.limits, self._runtime.clock
        deadline_us = clock() + limits.reload_retry_us
        logged = False
        while True:
            try:
                config = reread_config(self._environment)
            except ConfigError as error:
                will_retry = clock() < deadline_us
                if not logged or not will_retry:
                    self._runtime.log.always(
                        "configuration_reload_failed", reason=str(error), will_retry=will_retry
                    )
                logged = True
            else:
                self._apply(config)
                return
            if not will_retry:
                return
            yield Wait(clock() + limits.reload_retry_interval_us)
