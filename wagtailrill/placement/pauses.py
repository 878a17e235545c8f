"""Pauses that backend servers asked single instances for.

Each instance checks its own ones before it asks for a server, and the dispatcher keeps
those of all instances.
"""

import attrs

from ..core.context import Context
from ..keys.component import KeyOwnership
from ..servers.choice import ServerChoice
from .models import NoServerAvailable, PlacementQuery


@attrs.frozen
class PauseChecks:
    """Refuses requests that no server wants from this instance now."""

    ctx: Context
    choice: ServerChoice
    keys: KeyOwnership

    def find_refusal(self, query: PlacementQuery) -> NoServerAvailable | None:
        """Return the refusal of a request, None unless all its servers want a pause.

        The request may wait if it still has its target latency after the pause.
        """
        owner = ""
        if query.keyed and query.key_position is not None:
            owner = self.keys.get_routes(query.service).find_owner(query.key_position)
            if not owner:
                return None
        pause_left_s = self.choice.get_pause_left_s(query.service, owner)
        if pause_left_s <= 0.0:
            return None
        may_wait = pause_left_s + query.target_s < query.left_s
        instance = self.ctx.identity.instance
        return NoServerAvailable(False, may_wait, pause_left_s, instance, pause_left_s)


class ServerPauses:
    """Until when each server wants no requests from an instance, in monotonic time."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._until_s: dict[str, dict[str, float]] = {}

    def record_pause(self, instance: str, backend_server: str, pause_s: float) -> None:
        """Record that a server wants no requests from an instance for `pause_s`."""
        if pause_s > 0.0:
            until_by_server = self._until_s.setdefault(instance, {})
            known_until_s = until_by_server.get(backend_server, float("-inf"))
            until_s = self._ctx.now_s + pause_s
            until_by_server[backend_server] = max(until_s, known_until_s)

    def list_paused(self, instance: str) -> frozenset[str]:
        """Return the names of the servers that want no requests from an instance."""
        return frozenset(self._until_s.get(instance, ()))

    def drop_expired(self) -> None:
        """Forget the pauses that have ended."""
        now_s = self._ctx.now_s
        self._until_s = {
            instance: remaining
            for instance, until_by_server in self._until_s.items()
            if (
                remaining := {
                    name: until_s
                    for name, until_s in until_by_server.items()
                    if now_s < until_s
                }
            )
        }
