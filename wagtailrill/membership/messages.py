"""Messages between the coordinator and the members of a cell."""

from pathlib import Path

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class Payload:
    """A component's report or notice, by name."""

    name: str
    data: bytes


@attrs.frozen
class Heartbeat:
    """Sent by the coordinator; grants a lease if it answers a reply.

    The lease of `lease_s` seconds counts from the moment at which the member sent
    reply `answers`. With `answers` 0 nothing is granted and a reply is due at once.
    """

    term: int
    number: int
    answers: int
    lease_s: float
    join: int
    version: int
    store_down: bool
    suspected: tuple[str, ...] = ()
    notices: tuple[Payload, ...] = ()


@attrs.frozen
class HeartbeatReply:
    """Sent to the coordinator every heartbeat interval; `join` 0 asks to join.

    `store_down` confirms an outage as of the sending of heartbeat `heartbeat`;
    `outage_age_s` is the time since the sender last confirmed one. `lapsed_join` is
    the last join number whose lease lapsed: the sender holds nothing under it.
    """

    term: int
    number: int
    heartbeat: int
    join: int
    lapsed_join: int
    applied: int
    acknowledged: int
    store_down: bool
    outage_age_s: float
    leaving: bool = False
    reports: tuple[Payload, ...] = ()


@attrs.frozen
class CoordinatorHint:
    """Answers a reply that reached an instance that is not the coordinator."""

    term: int
    instance: str
    incarnation: int


@attrs.frozen
class TableRequest:
    """Asks the coordinator for the cell table; `version` is the one applied."""

    version: int


@attrs.frozen
class TableDocument:
    """The cell table of a confirmed write."""

    term: int
    version: int
    document: bytes


MESSAGES = {
    1: Heartbeat,
    2: HeartbeatReply,
    3: CoordinatorHint,
    4: TableRequest,
    5: TableDocument,
}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register(Path(__file__).with_name("membership.capnp"), MESSAGES)
