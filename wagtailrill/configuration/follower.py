"""Follows the configuration in the store."""

from collections.abc import Callable
from typing import Protocol

import attrs
from expression import Result

from ..core.context import Context
from ..core.log_events import LogName
from ..declaration.models import Configuration, DataCentreState, Declaration
from ..store.mirror import MirrorSettings, PrefixMirror
from ..store.models import Item

ConfigurationListener = Callable[[Configuration], None]


class ConfigurationDecoder(Protocol):
    """Where the configuration lies in the store, and how to read it."""

    @property
    def prefix(self) -> str:
        """Return the prefix of all keys that belong to the configuration."""
        ...

    def declaration_key(self) -> str:
        """Return the key that holds the declaration."""
        ...

    def decode(self, item: Item) -> Result[Declaration, str]:
        """Return the declaration, or what is wrong with it."""
        ...

    def closed(self, keys: frozenset[str]) -> frozenset[str]:
        """Return the data centres that other keys take out."""
        ...


class ConfigurationFollower:
    """Applies each accepted declaration, and never a lower revision after a higher."""

    def __init__(self, ctx: Context, decoder: ConfigurationDecoder) -> None:
        self.current: Configuration | None = None
        self._ctx = ctx
        self._decoder = decoder
        self._listeners: list[ConfigurationListener] = []
        self._declaration: Declaration | None = None
        self._revision = 0
        self._seen_revision = 0
        self._closed: frozenset[str] = frozenset()
        self._mirror = PrefixMirror(
            ctx, MirrorSettings(decoder.prefix), self._on_change
        )

    def start(self) -> None:
        """Begin to follow."""
        self._mirror.start()

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Add a receiver of each configuration that comes into force."""
        self._listeners.append(listener)

    @property
    def confirmed_s(self) -> float:
        """Return when the configuration was last known to be the newest."""
        return self._mirror.confirmed_s

    def _on_change(self, keys: frozenset[str]) -> None:
        item = self._mirror.items.get(self._decoder.declaration_key())
        applied = item is not None and self._read(item)
        closed = self._decoder.closed(frozenset(self._mirror.items))
        if closed != self._closed:
            self._closed = closed
            applied = True
            self._ctx.log(
                LogName.DATA_CENTRES_CLOSED,
                data_centres=",".join(sorted(closed)),
                revision=self._mirror.revision,
            )
        if applied and self._declaration is not None:
            self._apply(self._declaration)

    def _read(self, item: Item) -> bool:
        if item.revision <= self._seen_revision:
            return False
        self._seen_revision = item.revision
        decoded = self._decoder.decode(item)
        if decoded.is_error():
            self._ctx.log(
                LogName.CONFIGURATION_INVALID,
                revision=item.revision,
                reason=decoded.error[:500],
            )
            return False
        self._declaration = decoded.ok
        self._revision = item.revision
        return True

    def _apply(self, declaration: Declaration) -> None:
        data_centres = tuple(
            attrs.evolve(d, state=DataCentreState.OUT) if d.name in self._closed else d
            for d in declaration.data_centres
        )
        self.current = Configuration(
            self._revision, attrs.evolve(declaration, data_centres=data_centres)
        )
        self._ctx.log(
            LogName.CONFIGURATION_APPLIED,
            revision=self._revision,
            version=declaration.deployment,
            services=len(declaration.services),
            organisations=len(declaration.organisations),
        )
        for listener in self._listeners:
            listener(self.current)
