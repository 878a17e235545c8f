"""Limits the requests to cold backend servers (slow start).

Server choice uses it; the router configures it.
"""

import math
from collections.abc import Callable

import attrs
import xxhash

from ..core.context import Context
from ..declaration.models import ColdStart, Configuration
from .const import COLD_ALLOWANCE_RATIO, COLD_WINDOW_S
from .models import ServerRow
from .table import ServerTable


@attrs.frozen
class ColdSettings:
    """How far the fleet may exceed the rate that a service declares for a cold server.

    In any second it may send at most
    `requests_per_s` * `excess_factor` + `excess_requests`.
    """

    excess_factor: float = 1.0
    excess_requests: float = 0.0


class ColdAllowances:
    """Divides the allowance of each cold server among the instances.

    Every instance has a fixed share, so that no coordination is needed. The remainder
    goes to the first instances by rendezvous hashing; if there are more instances than
    requests in the allowance, only these may send.
    """

    def __init__(
        self,
        ctx: Context,
        table: ServerTable,
        cfg: ColdSettings,
        list_instances: Callable[[], tuple[str, ...]],
    ) -> None:
        self._ctx = ctx
        self._table = table
        self._cfg = cfg
        self._list_instances = list_instances
        self._cold_starts: dict[str, ColdStart] = {}

    def apply_settings(self, cfg: ColdSettings) -> None:
        """Replace the settings by new ones."""
        self._cfg = cfg

    def configure(self, configuration: Configuration) -> None:
        """Apply the slow start limits that the services declare."""
        self._cold_starts = {
            service.name: service.cold_start
            for service in configuration.services.values()
            if service.cold_start is not None
        }

    def may_send(self, row: ServerRow) -> bool:
        """Return whether one more request may go to a server now."""
        if not self._table.is_cold(row):
            return True
        cold_start = self._cold_starts.get(row.entry.service)
        if cold_start is None:
            return True
        sends = row.recent_sends_s
        while sends and sends[0] <= self._ctx.now_s - COLD_WINDOW_S:
            sends.popleft()
        return len(sends) < self._compute_allowance(row, cold_start)

    def record_send(self, row: ServerRow) -> None:
        """Record that a request is sent to a server."""
        sends = row.recent_sends_s
        sends.append(self._ctx.now_s)
        while sends[0] <= self._ctx.now_s - COLD_WINDOW_S:
            sends.popleft()

    def _compute_allowance(self, row: ServerRow, cold_start: ColdStart) -> int:
        cfg = self._cfg
        fleet_requests = (
            cold_start.requests_per_s * cfg.excess_factor + cfg.excess_requests
        )
        instances = self._list_instances()
        if self._ctx.identity.instance not in instances:
            return 0
        share, remainder = divmod(
            math.floor(fleet_requests * COLD_ALLOWANCE_RATIO), len(instances)
        )
        return share + (self._compute_rank(row, instances) < remainder)

    def _compute_rank(self, row: ServerRow, instances: tuple[str, ...]) -> int:
        ranked = sorted(instances, key=lambda name: _hash_rank(name, row.name))
        return ranked.index(self._ctx.identity.instance)


def _hash_rank(instance: str, server: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{instance}\0{server}".encode())
