"""Model of a backend server's grants and orders, and the ledger of what ran."""

import attrs
from expression import Error, Ok

from wagtailrill.core.backend import (
    BackendError,
    BackendErrorKind,
    Grant,
    Granted,
    Health,
)
from wagtailrill.core.invariants import InvariantError
from wagtailrill.membership.table import CellTable
from wagtailrill.ownership.view import TableView


class Ledger:
    """Checks every effect of an order, and every stored cell table."""

    def __init__(self):
        self.assigned = {}
        self.fences = {}
        self.slot_epochs = {}
        self.key_owners = {}
        self.ran = {}
        self.effects = 0

    def stored(self, document):
        """Check that a stored table keeps all earlier assignments."""
        view = TableView.of(CellTable.from_bytes(document), 0)
        lost = self.fences.keys() - view.services.keys()
        self._check(not lost, f"table lost services {lost}")
        for name, service in view.services.items():
            last = self.fences.get(name, 0)
            self._check(service.fence >= last, f"fence of {name} fell below {last}")
            self.fences[name] = service.fence
            for number, owner in service.numbered():
                if owner.state.value == "serving":
                    key = name, number, owner.epoch
                    known = self.assigned.setdefault(key, owner.backend_server)
                    if known != owner.backend_server:
                        raise InvariantError(f"{key} assigned to {known} and {owner}")

    def effect(self, route, server, now_s):
        """Check an order that takes effect at a server now."""
        self.effects += 1
        slot = route.service, route.slot
        what = f"{slot} epoch {route.epoch} on {server} at {now_s:.3f}"
        assigned = self.assigned.get((*slot, route.epoch))
        self._check(assigned == server, f"{what} but stored for {assigned}")
        last = self.slot_epochs.get(slot, 0)
        self._check(route.epoch >= last, f"{what} after epoch {last}")
        self.slot_epochs[slot] = route.epoch
        key = route.service, route.key_hash
        epoch, owner = self.key_owners.get(key, (0, server))
        same = owner == server or route.epoch > epoch
        self._check(same, f"{what} after {owner} epoch {epoch}")
        self.key_owners[key] = max(epoch, route.epoch), server
        self.ran[key] = now_s

    def _check(self, holds, detail):
        if not holds:
            raise InvariantError(detail)


@attrs.define(eq=False)
class BackendModel:
    """One server; a checking one refuses by grant, another one by the order's expiry.

    Its monotonic clock runs at `rate`, and its wall clock is wrong by `wall_error_s`.
    """

    name: str
    checks: bool
    rate: float = 1.0
    wall_error_s: float = 0.0
    start: int = 1
    reachable: bool = True
    refuses: bool = False
    frozen: bool = False
    held: list = attrs.field(factory=list)
    fence: int = 0
    slots: dict = attrs.field(factory=dict)
    valid_until_s: float = -1.0

    def local_s(self, now_s):
        """Return the own monotonic time."""
        return now_s * self.rate

    def expired(self, unix_s, wall_s):
        """Return whether an absolute time has passed on the own wall clock."""
        return wall_s + self.wall_error_s >= unix_s

    def control(self, operation, now_s, wall_s):
        """Carry out a grant or probe."""
        if isinstance(operation, Grant):
            return self._grant(operation, now_s, wall_s)
        return Ok(Health(True, f"{self.name}#{self.start}", now_s, 0.5))

    def fenced(self, fence):
        """Return whether a grant is older than the newest one."""
        return fence < self.fence

    def _grant(self, grant, now_s, wall_s):
        local_s = self.local_s(now_s)
        if self.fenced(grant.fence):
            return Error(BackendError(BackendErrorKind.FENCED, self.fence))
        late = self.expired(grant.expires_unix_s, wall_s)
        lapsed = grant.fence != self.fence or local_s >= self.valid_until_s
        if late or (grant.renew_only and lapsed):
            return Error(BackendError(BackendErrorKind.UNKNOWN_GRANT))
        if not grant.renew_only:
            self.fence = grant.fence
            self.slots = {s.slot: s.epoch for s in grant.slots}
        left_s = grant.expires_unix_s - wall_s - self.wall_error_s
        self.valid_until_s = local_s + min(grant.duration_s, left_s)
        return Ok(Granted(grant.fence))

    def accepts(self, route, now_s, wall_s):
        """Return whether an order may run now."""
        if not self.checks:
            return not self.expired(route.expires_unix_s, wall_s)
        granted = self.local_s(now_s) < self.valid_until_s
        return granted and self.slots.get(route.slot) == route.epoch

    def restart(self):
        """Lose all state, as a new process does."""
        self.start += 1
        self.fence, self.slots, self.valid_until_s = 0, {}, -1.0
        self.held.clear()
        self.frozen = False
