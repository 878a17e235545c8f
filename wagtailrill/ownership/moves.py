"""Decides at the coordinator when a move may end."""

import math

import attrs

from ..core.const import granter_duration_s
from ..membership.table import SlotOwner
from ..partitions.directory import Member
from .const import GRANT_S, WALL_CLOCK_ERROR_S
from .models import MembershipView
from .reports import MemberReport
from .view import TableView

GRANT_WAIT_S = granter_duration_s(GRANT_S) + WALL_CLOCK_ERROR_S


@attrs.frozen
class _Move:
    service: str
    number: int
    owner: SlotOwner
    version: int


@attrs.define
class _Version:
    """What is known about the members under one table version or a later one."""

    acknowledged_s: float | None = None
    last_grants_s: dict[Member, dict[str, float]] = attrs.field(factory=dict)


class MoveTracker:
    """Waits for acknowledgements, revocations and grant expiry.

    It starts with no knowledge, so a new coordinator waits again for moves that its
    predecessor left behind.
    """

    def __init__(self, membership: MembershipView) -> None:
        self._membership = membership
        self._moves: dict[tuple[str, int], _Move] = {}
        self._versions: dict[int, _Version] = {}
        self._revoked: dict[str, int] = {}
        self._departing: dict[Member, dict[str, float]] = {}
        self._seen_version = -1

    def reset(self) -> None:
        """Forget everything at the end of a term."""
        self._moves, self._versions, self._revoked = {}, {}, {}
        self._departing = {}
        self._seen_version = -1

    def observe(self, view: TableView) -> None:
        """Take over the moves of a table version."""
        if view.version == self._seen_version:
            return
        self._seen_version = view.version
        moves: dict[tuple[str, int], _Move] = {}
        for service in view.services.values():
            for number, owner in service.moving.items():
                key = service.service, number
                known = self._moves.get(key)
                if known is None or known.owner != owner:
                    known = _Move(service.service, number, owner, view.version)
                moves[key] = known
        self._moves = moves
        used = {move.version for move in moves.values()}
        self._versions = {v: self._versions.get(v, _Version()) for v in used}

    def report(self, member: Member, report: MemberReport, now_s: float) -> None:
        """Note when a member that applied a version last granted before it did."""
        last = {name: now_s - age for name, age in report.grant_ages_s.items()}
        self._departing.pop(member, None)
        if not report.leased:
            # A lease that was given up is not waited for, but its last grants are.
            self._departing[member] = last
        for version, known in self._versions.items():
            if report.version >= version:
                known.last_grants_s.setdefault(member, last)

    def revoked(self, backend_server: str, fence: int) -> None:
        """Note that a backend server confirmed a fence."""
        known = self._revoked.get(backend_server, 0)
        self._revoked[backend_server] = max(known, fence)

    def to_revoke(self, checking: set[str]) -> set[tuple[str, str]]:
        """Return services and previous owners whose revocation is not confirmed."""
        return {
            (move.service, move.owner.previous)
            for move in self._moves.values()
            if move.owner.previous
            and move.service in checking
            and not self._is_revoked(move)
        }

    def ready(
        self, checking: set[str], own_orders_block: bool, now_s: float
    ) -> dict[str, dict[int, int]]:
        """Return the epochs of the moves that may end, by service and slot number."""
        for version, known in self._versions.items():
            acknowledged = self._membership.acknowledged_by_all(version)
            if not acknowledged or own_orders_block:
                known.acknowledged_s = None
            elif known.acknowledged_s is None:
                known.acknowledged_s = now_s
        ready: dict[str, dict[int, int]] = {}
        lapsed: dict[tuple[int, str], bool] = {}
        for move in self._moves.values():
            if self._may_end(move, move.service in checking, now_s, lapsed):
                ready.setdefault(move.service, {})[move.number] = move.owner.epoch
        return ready

    def _may_end(
        self,
        move: _Move,
        checks_grants: bool,
        now_s: float,
        lapsed: dict[tuple[int, str], bool],
    ) -> bool:
        acknowledged_s = self._versions[move.version].acknowledged_s
        if acknowledged_s is None or now_s < acknowledged_s + WALL_CLOCK_ERROR_S:
            return False
        if not checks_grants or not move.owner.previous or self._is_revoked(move):
            return True
        key = move.version, move.owner.previous
        if key not in lapsed:
            lapsed[key] = now_s >= self._last_grant_s(*key) + GRANT_WAIT_S
        return lapsed[key]

    def _is_revoked(self, move: _Move) -> bool:
        return self._revoked.get(move.owner.previous, 0) >= move.owner.epoch

    def _last_grant_s(self, version: int, backend_server: str) -> float:
        known = self._versions[version].last_grants_s
        members = self._membership.members()
        if any(member not in known for member in members):
            return math.inf
        grants = [*(known[m] for m in members), *self._departing.values()]
        return max(
            (last.get(backend_server, -math.inf) for last in grants), default=-math.inf
        )
