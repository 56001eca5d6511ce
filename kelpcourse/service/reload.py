"""Reading the configuration again while the controller runs."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from kelpcourse.service.config import Config, ConfigError, reread_config
from kelpcourse.wire.loop import Coroutine, Task, Wait
from kelpcourse.wire.runtime import Runtime


class ConfigReloader:
    """Reads the configuration file when asked to, and for a while again if it can't be read.

    A file that is being replaced can't be read for a moment, and nobody sends a second signal when it can.
    """

    def __init__(
        self,
        runtime: Runtime,
        environment: Mapping[str, str],
        reread_source: Callable[[], None],
        apply: Callable[[Config], None],
    ) -> None:
        """`reread_source` goes before each reload, `apply` takes what was read."""
        self._runtime = runtime
        self._environment = environment
        self._reread_source = reread_source
        self._apply = apply
        self._task: Task | None = None

    def reload(self) -> None:
        """Begins a reload. One that is being retried is dropped: the file may have changed since."""
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
