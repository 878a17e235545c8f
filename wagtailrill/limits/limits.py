"""Fleet-wide rate limits of one instance: its shares and the homes it is."""

from ..core.context import Context
from ..core.host import ComponentHost
from ..declaration.models import Configuration
from ..partitions.directory import PartitionDirectory
from ..partitions.forwarding import HomeForwarder
from .holder import Holder
from .home import Home
from .messages import CollectHoldings, HolderReport, HomeGrant
from .models import Limit, LimitSettings, OnResult


class Limits(HomeForwarder):
    """Admits requests so that no organisation exceeds its rate and burst.

    It listens to changes of homes and members (`PartitionListener`).
    """

    def __init__(
        self, ctx: Context, directory: PartitionDirectory, cfg: LimitSettings
    ) -> None:
        self._version = -1
        self.holder = Holder(ctx, directory, cfg)
        self.home = Home(ctx, directory, cfg)
        super().__init__(self.home)

    def attach(self, host: ComponentHost) -> None:
        """Receive the messages of this package."""
        host.on_messages([CollectHoldings], self.holder.receive_collect)
        host.on_messages([HomeGrant], self.holder.receive_grant)
        host.on_messages([HolderReport], self.home.receive_report)

    def configure(self, configuration: Configuration) -> None:
        """Apply the limits of a configuration unless a later one is in force."""
        if configuration.version < self._version:
            return
        self._version = configuration.version
        limits = {
            name: Limit(o.rate_per_s, o.burst, configuration.version)
            for name, o in configuration.organisations.items()
        }
        self.holder.configure(configuration.version, limits)
        self.home.configure(configuration.version, limits)

    def take(self, organisation: str, on_result: OnResult) -> None:
        """Take a token; `on_result` runs at once or within the maximum wait."""
        self.holder.take(organisation, on_result)

    def lease_lost(self) -> None:
        """Learn that this instance's lease has lapsed: all holdings are void."""
        super().lease_lost()
        self.holder.lease_lost()
