"""Permits of one instance: its holder and home sides behind one interface."""

from ..core.context import Context
from ..core.host import ComponentHost
from ..declaration.models import Configuration
from ..partitions.directory import PartitionDirectory
from ..partitions.forwarding import HomeForwarder
from .holder import PermitHolder
from .home import PermitHome
from .messages import CollectHoldings, HoldingsReport, PermitGrant, PermitReport
from .models import OnPermit, Permit, PermitSettings


class Permits(HomeForwarder):
    """Implements `PartitionListener`; see `PermitHolder` for the operations."""

    def __init__(
        self, ctx: Context, directory: PartitionDirectory, cfg: PermitSettings
    ) -> None:
        self.holder = PermitHolder(ctx, directory, cfg)
        self.home = PermitHome(ctx, directory, cfg)
        super().__init__(self.home)

    def attach(self, host: ComponentHost) -> None:
        """Receive the messages of this package from a host."""
        host.on_messages([PermitReport], self.home.reported)
        host.on_messages([HoldingsReport], self.home.holdings_reported)
        host.on_messages([PermitGrant], self.holder.granted)
        host.on_messages([CollectHoldings], self.holder.collected)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.home.configure(configuration)
        self.holder.configure(configuration)

    def idle(self, backend_server: str) -> int:
        """Return the permits held now that can be used at once."""
        return self.holder.idle(backend_server)

    def in_use(self, backend_server: str) -> int:
        """Return the permits of this instance that are in use."""
        return self.holder.in_use(backend_server)

    def queue_length(self, backend_server: str) -> int:
        """Return the last known number of requests waiting at the home."""
        return self.holder.queue_length(backend_server)

    def acquire(
        self,
        backend_server: str,
        request_id: int,
        organisation: str,
        deadline_s: float,
        on_result: OnPermit,
    ) -> None:
        """Call back with a permit, at once if one is idle, or with `PermitDenied`."""
        self.holder.acquire(
            backend_server, request_id, organisation, deadline_s, on_result
        )

    def cancel(self, request_id: int) -> None:
        """Stop waiting for a permit; nothing is called back."""
        self.holder.cancel(request_id)

    def release(
        self,
        permit: Permit,
        connection_open: bool,
        start_id: str = "",
        still_runs_s: float = 0.0,
    ) -> None:
        """Give back a permit; see `PermitHolder.release`."""
        self.holder.release(permit, connection_open, start_id, still_runs_s)

    def connection_closed(self, backend_server: str) -> None:
        """Learn that an idle connection was closed by the other side."""
        self.holder.connection_closed(backend_server)

    def start_id_seen(
        self, backend_server: str, start_id: str, uptime_s: float
    ) -> None:
        """Learn the start id and uptime in seconds that a probe returned."""
        self.holder.start_id_seen(backend_server, start_id, uptime_s)

    def lease_lost(self) -> None:
        """Learn that this instance's lease has lapsed: all holdings are void."""
        super().lease_lost()
        self.holder.lease_lost()
