"""Applies configurations to the components, each on its own.

The follower of the configuration uses it.
"""

from collections.abc import Callable

import attrs

from ..core.callback_guard import CALLBACK_RETRY_S
from ..core.context import Context
from ..core.timer import TimerHandle
from ..declaration.models import Configuration

ConfigurationListener = Callable[[Configuration], None]


@attrs.frozen
class NamedListener:
    """A component's function that applies a configuration."""

    name: str
    apply: ConfigurationListener


class ConfigurationListeners:
    """Calls the listeners in the order in which they were added.

    An error of one keeps no other from applying the configuration: a key that has been
    withdrawn must not go on working because a limit cannot be computed. Those that
    failed are called again every `CALLBACK_RETRY_S`, or with the next configuration.

    `in_force` is the last configuration that all of them have applied, and
    `in_force_since_s` the monotonic time at which the last one did. `on_in_force` is
    called then.
    """

    def __init__(self, ctx: Context, on_in_force: Callable[[], None]) -> None:
        self.in_force: Configuration | None = None
        self.in_force_since_s = 0.0
        self._ctx = ctx
        self._on_in_force = on_in_force
        self._listeners: list[NamedListener] = []
        self._failed: list[NamedListener] = []
        self._retry: TimerHandle | None = None

    def add(self, name: str, listener: ConfigurationListener) -> None:
        """Add a function to call with each configuration; `name` is for the log."""
        self._listeners.append(NamedListener(name, listener))

    def list_failed(self) -> tuple[str, ...]:
        """Return the names of those that have not applied the newest configuration."""
        return tuple(listener.name for listener in self._failed)

    def apply(self, configuration: Configuration) -> None:
        """Apply a configuration to all components."""
        self._run(self._listeners, configuration)

    def _run(
        self, listeners: list[NamedListener], configuration: Configuration
    ) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        self._failed = [
            listener
            for listener in listeners
            if not self._run_one(listener, configuration)
        ]
        if self._failed:
            self._retry = self._ctx.timers.call_later(
                CALLBACK_RETRY_S, lambda: self._run(self._failed, configuration)
            )
            return
        self.in_force, self.in_force_since_s = configuration, self._ctx.now_s
        self._on_in_force()

    def _run_one(self, listener: NamedListener, configuration: Configuration) -> bool:
        return self._ctx.guard.run(
            f"configure {listener.name}", lambda: listener.apply(configuration)
        )
