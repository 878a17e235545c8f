"""Models of the spread of configurations."""

from collections.abc import Callable
from typing import Protocol

import attrs
import xxhash

from ..declaration.models import Configuration
from ..partitions.directory import Member
from .const import VERSION_BYTES

ConfigurationListener = Callable[[Configuration], None]


class ConfigurationDirectory(Protocol):
    """What the spread of configurations needs from membership."""

    def coordinates(self) -> bool:
        """Return whether this instance is the coordinator with authority now."""
        ...

    def in_outage_mode(self) -> bool:
        """Return whether the coordinator continues without the store."""
        ...

    def has_lease(self) -> bool:
        """Return whether the member lease is valid now."""
        ...

    def members(self) -> tuple[Member, ...]:
        """Return the members of the current table."""
        ...

    def suspected(self, instance: str) -> bool:
        """Return whether a member has been silent for the suspicion timeout."""
        ...

    def add_report(self, name: str, provider: Callable[[], bytes]) -> None:
        """Attach a payload to this member's heartbeat replies."""
        ...

    def on_report(self, name: str, handler: Callable[[Member, bytes], None]) -> None:
        """Handle members' payloads while this instance is the coordinator."""
        ...

    def add_notice(self, name: str, provider: Callable[[], bytes]) -> None:
        """Attach a payload to heartbeats while this instance is the coordinator."""
        ...

    def on_notice(self, name: str, handler: Callable[[bytes], None]) -> None:
        """Handle the coordinator's payloads."""
        ...


@attrs.frozen
class ConfigurationSettings:
    """Settings of the keeper: the deployment whose configuration it keeps."""

    deployment: str

    @property
    def key(self) -> str:
        """Return the store key of the declaration."""
        return f"{self.deployment}/config"


@attrs.frozen
class Document:
    """A declaration text with its version."""

    version: int
    text: bytes = attrs.field(repr=False)
    digest: int

    @classmethod
    def of(cls, version: int, text: bytes) -> "Document":
        """Return the document of a text."""
        return cls(version, text, xxhash.xxh3_64_intdigest(text))


NO_DOCUMENT = Document.of(0, b"")


@attrs.frozen
class Notice:
    """Carried by heartbeats: the coordinator's version and the deputy watcher.

    `confirmed` says that the coordinator has read the store since it took over, and
    still reaches it or continues in outage mode.
    """

    version: int
    confirmed: bool
    deputy: str

    def to_bytes(self) -> bytes:
        """Return the payload."""
        flag = bytes((self.confirmed,))
        return version_to_bytes(self.version) + flag + self.deputy.encode()

    @classmethod
    def from_bytes(cls, payload: bytes) -> "Notice":
        """Return the notice; raise `ValueError` for a malformed payload."""
        version = version_from_bytes(payload[:VERSION_BYTES])
        flag, deputy = payload[VERSION_BYTES:][:1], payload[VERSION_BYTES + 1 :]
        return cls(version, flag == b"\1", deputy.decode())


def version_to_bytes(version: int) -> bytes:
    """Return a version as it is reported."""
    return version.to_bytes(VERSION_BYTES, "big")


def version_from_bytes(payload: bytes) -> int:
    """Return a reported version; raise `ValueError` for a malformed payload."""
    if len(payload) != VERSION_BYTES:
        raise ValueError("malformed version")
    return int.from_bytes(payload, "big")
