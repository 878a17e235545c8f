"""Follows the configuration in the store and notifies its listeners of each change.

The router uses it.
"""

from collections.abc import Mapping
from typing import Protocol

import attrs
from expression import Result

from ..core.commands import RecordConfigurationDelay
from ..core.context import Context
from ..core.findings import Finding
from ..core.log_events import LogName
from ..core.timer import TimerHandle
from ..declaration.models import Configuration, DataCentreState, Declaration
from ..store.const import REWRITE_GRACE_S
from ..store.mirror import PrefixMirror
from ..store.mirror_models import MirrorSettings
from ..store.models import Item
from ..store.revision import FIRST_ERA, get_era
from .const import CONFIRMATION_GAP_MAX_S, WATCH_WAIT_MAX_S
from .known_items import KnownItems
from .listeners import ConfigurationListener, ConfigurationListeners
from .messages import LostItem
from .models import ConfigurationStatus, InvalidDeclaration


class ConfigurationDecoder(Protocol):
    """Locates the configuration in the store and decodes it."""

    @property
    def prefix(self) -> str:
        """Return the prefix of all store keys that belong to the configuration."""
        ...

    def get_declaration_key(self) -> str:
        """Return the store key that holds the declaration."""
        ...

    def decode(self, item: Item) -> Result[Declaration, InvalidDeclaration]:
        """Return the declaration, or the reason why it is invalid."""
        ...

    def list_closed_data_centres(self, keys: frozenset[str]) -> frozenset[str]:
        """Return the data centres that the given store keys take out of service."""
        ...


class ConfigurationFollower:
    """Applies each valid declaration, and never an older one after a newer one.

    Declarations are ordered by the number of their version, if they have one, and by
    their revision. After a restore of the store, what was known stays in force until
    the operator has had time to write it again. An instance that knows nothing from
    before a restore applies nothing until `release` is called, as the store may show an
    older configuration than the others act by.

    It alone decides which configuration is to be in force: listeners apply each one
    whole. Closed data centres are applied as `OUT`. `current` is the configuration that
    the listeners were given last, None before the first one; `in_force` is the last one
    that all of them have applied. An invalid declaration is logged and the
    configuration in force is kept.
    """

    def __init__(self, ctx: Context, decoder: ConfigurationDecoder) -> None:
        self.current: Configuration | None = None
        self._ctx = ctx
        self._decoder = decoder
        self._listeners = ConfigurationListeners(ctx, self._log_applied)
        self._declaration: Declaration | None = None
        self._declaration_item: Item | None = None
        self._has_unapplied_change = False
        self._is_released = False
        # Time of the latest restore, as others have told.
        self._reported_restored_s = float("-inf")
        self._last_read_revision = 0
        self._closed_data_centres: frozenset[str] = frozenset()
        self._items = KnownItems()
        self._release_timer: TimerHandle | None = None
        self.mirror = PrefixMirror(
            ctx,
            MirrorSettings(
                decoder.prefix,
                watch_wait_max_s=WATCH_WAIT_MAX_S,
                confirmation_gap_max_s=CONFIRMATION_GAP_MAX_S,
            ),
            self._on_change,
        )

    def start(self) -> None:
        """Start following the configuration."""
        self.mirror.start()

    def add_listener(self, name: str, listener: ConfigurationListener) -> None:
        """Add a function that applies each configuration that comes into force."""
        self._listeners.add(name, listener)

    @property
    def in_force(self) -> Configuration | None:
        """Return the last configuration that all listeners have applied."""
        return self._listeners.in_force

    def list_failed_listeners(self) -> tuple[str, ...]:
        """Return the names of those that have not applied the newest configuration."""
        return self._listeners.list_failed()

    @property
    def confirmed_s(self) -> float:
        """Return the monotonic time at which the configuration was last confirmed."""
        return self.mirror.confirmed_s

    def get_status(self) -> ConfigurationStatus | None:
        """Return the version and age of the configuration in force, if there is one."""
        in_force = self.in_force
        if in_force is None:
            return None
        now_s = self._ctx.now_s
        return ConfigurationStatus(
            version=in_force.declaration.deployment,
            revision=in_force.version,
            in_force_s=now_s - self._listeners.in_force_since_s,
            age_s=now_s - self.confirmed_s,
            failed_listeners=self.list_failed_listeners(),
        )

    def list_findings(self) -> tuple[Finding, ...]:
        """Return the words of the configuration in force that are not understood."""
        return self.current.declaration.findings if self.current is not None else ()

    @property
    def is_released(self) -> bool:
        """Return whether a configuration that the store shows may come into force."""
        return self._is_released or self._ctx.store_era.current <= FIRST_ERA

    @property
    def has_listed(self) -> bool:
        """Return whether the keys have been listed in the present era of the store."""
        era = self._ctx.store_era.current
        return self.mirror.is_complete and get_era(self.mirror.revision) == era

    @property
    def operator_items(self) -> Mapping[str, Item] | None:
        """Return the operator's keys, None until one may act by them."""
        return self._items.current if self.is_released and self.has_listed else None

    @property
    def declaration_key(self) -> str:
        """Return the store key of the declaration."""
        return self._decoder.get_declaration_key()

    @property
    def version_number(self) -> int:
        """Return the number of the newest known version, 0 without one."""
        declaration = self._declaration
        return (declaration.version_number or 0) if declaration is not None else 0

    @property
    def declaration_item(self) -> Item | None:
        """Return the newest known declaration as it was stored, if there is one."""
        return self._declaration_item

    @property
    def restored_s(self) -> float:
        """Return the monotonic time of the latest restore, `-inf` if unknown."""
        return max(self._ctx.store_era.risen_s, self._reported_restored_s)

    def list_lost(self) -> tuple[LostItem, ...]:
        """Return the known state of the keys that the store lacks or shows older.

        The value of the declaration is left out.
        """
        return tuple(
            attrs.evolve(lost, value=b"") if lost.key == self.declaration_key else lost
            for lost in self._items.list_lost()
        )

    def hold(self, lost_items: tuple[LostItem, ...], restored_s: float) -> None:
        """Take what another instance knows of keys that the store has lost.

        `restored_s` is the monotonic time of the restore. A declaration counts only
        once its value is known.
        """
        self._reported_restored_s = max(self._reported_restored_s, restored_s)
        if self._ctx.now_s - self.restored_s >= REWRITE_GRACE_S:
            return
        self._items.hold(
            lost
            for lost in lost_items
            if lost.key != self.declaration_key or not lost.is_present
        )
        self._on_change(frozenset())

    def adopt_declaration(self, lost: LostItem) -> bool:
        """Apply a declaration of another instance unless a newer one is known."""
        item = Item(self.declaration_key, lost.value, lost.revision)
        decoded = self._decoder.decode(item)
        if decoded.is_error() or not self._is_newer(decoded.ok):
            return False
        self._ctx.log(
            LogName.CONFIGURATION_ADOPTED,
            version=decoded.ok.deployment,
            revision=item.revision,
            known_version=self.version_number,
        )
        if self._ctx.now_s - self.restored_s < REWRITE_GRACE_S:
            self._items.hold((lost,))
        self._last_read_revision = item.revision
        self._take_declaration(decoded.ok, item)
        self._has_unapplied_change = True
        self._on_change(frozenset())
        return True

    def release(self, restored_s: float) -> None:
        """Let the known configuration come into force.

        `restored_s` is when the store was restored, at the latest.
        """
        self._is_released = True
        self._reported_restored_s = max(self._reported_restored_s, restored_s)
        self._on_change(frozenset())

    def _on_change(self, keys: frozenset[str]) -> None:
        restored_for_s = self._ctx.now_s - self.restored_s
        self._items.update(
            self.mirror.items, self.mirror.revision, keys, restored_for_s
        )
        if self._items.is_holding:
            self._schedule_release(REWRITE_GRACE_S - restored_for_s)
        items = self._items.current
        item = items.get(self.declaration_key)
        if item is not None and self._read_declaration(item):
            self._has_unapplied_change = True
        closed_data_centres = self._decoder.list_closed_data_centres(frozenset(items))
        if closed_data_centres != self._closed_data_centres:
            self._closed_data_centres = closed_data_centres
            self._has_unapplied_change = True
            self._ctx.log(
                LogName.DATA_CENTRES_CLOSED,
                data_centres=",".join(sorted(closed_data_centres)),
                revision=self.mirror.revision,
            )
        is_applicable = self.is_released or self.current is not None
        if is_applicable and self._has_unapplied_change:
            self._apply_if_known()

    def _apply_if_known(self) -> None:
        if self._declaration is not None:
            self._apply_declaration(self._declaration)
            self._has_unapplied_change = False

    def _schedule_release(self, delay_s: float) -> None:
        # Only an answer from after the grace period shows what the operator has not
        # written again: the store may be away once more until then.
        if self._release_timer is None or self._release_timer.callback is None:
            timers = self._ctx.timers
            self._release_timer = timers.call_later(delay_s, self.mirror.list_again)

    def _read_declaration(self, item: Item) -> bool:
        if item.revision <= self._last_read_revision:
            return False
        decoded = self._decoder.decode(item)
        self._last_read_revision = item.revision
        if decoded.is_error():
            self._ctx.log(
                LogName.CONFIGURATION_INVALID,
                revision=item.revision,
                version=decoded.error.version,
                kept=self._declaration.deployment if self._declaration else "",
                reason=decoded.error.reason[:500],
            )
            return False
        if self._is_older_version(decoded.ok):
            self._ctx.log(
                LogName.CONFIGURATION_OUTDATED,
                revision=item.revision,
                version=decoded.ok.deployment,
            )
            return False
        self._take_declaration(decoded.ok, item)
        return True

    def _take_declaration(self, declaration: Declaration, item: Item) -> None:
        former = self._declaration
        known_findings = former.findings if former is not None else ()
        for finding in declaration.findings:
            if finding not in known_findings:
                self._ctx.log(
                    LogName.CONFIGURATION_FINDING,
                    version=declaration.deployment,
                    path=finding.path,
                    message=finding.message,
                )
        self._declaration = declaration
        self._declaration_item = item

    def _is_newer(self, declaration: Declaration) -> bool:
        """Return whether a declaration of another instance is newer than the known one.

        Without numbers, what was known before a restore is newer than the copy.
        """
        if declaration.version_number is None:
            return self.current is None
        return declaration.version_number > self.version_number

    def _is_older_version(self, declaration: Declaration) -> bool:
        if self._declaration is None:
            return False
        known, number = self._declaration.version_number, declaration.version_number
        return known is not None and number is not None and number < known

    def _apply_declaration(self, declaration: Declaration) -> None:
        item = self._declaration_item
        revision = item.revision if item is not None else 0
        data_centres = tuple(
            attrs.evolve(d, state=DataCentreState.OUT)
            if d.name in self._closed_data_centres
            else d
            for d in declaration.data_centres
        )
        self.current = Configuration(
            revision,
            attrs.evolve(declaration, data_centres=data_centres),
        )
        self._listeners.apply(self.current)
        failed = self._listeners.list_failed()
        if failed:
            self._ctx.log(
                LogName.CONFIGURATION_INCOMPLETE,
                revision=revision,
                version=declaration.deployment,
                failed=",".join(failed),
            )

    def _log_applied(self) -> None:
        in_force = self.in_force
        assert in_force is not None
        declaration = in_force.declaration
        self._ctx.log(
            LogName.CONFIGURATION_APPLIED,
            revision=in_force.version,
            version=declaration.deployment,
            services=len(declaration.services),
            organisations=len(declaration.organisations),
            **self._measure_delay(),
        )

    def _measure_delay(self) -> dict[str, float]:
        """Return the longest time since the change was stored, as a field of a log.

        It is empty for the first configuration, which may have been stored long ago.
        """
        delay_max_s = self._ctx.now_s - self.mirror.changed_after_s
        if delay_max_s == float("inf"):
            return {}
        self._ctx.emit_command(RecordConfigurationDelay(delay_max_s))
        return {"delay_max_s": round(delay_max_s, 3)}
