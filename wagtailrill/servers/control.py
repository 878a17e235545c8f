"""Control calls to backend servers."""

import enum

import attrs
from expression import Result

from ..core.orders import LoadReport


@attrs.frozen
class GrantKeys:
    """Grant positions for a time; the same call again extends the grant.

    `handover` is what the former owner answered to the release of these keys.
    """

    first: int
    last: int
    fence: int
    duration_s: float
    handover: str = ""


@attrs.frozen
class ReleaseKeys:
    """Take positions back; answered when the work that runs on them has ended."""

    first: int
    last: int
    fence: int


@attrs.frozen
class CheckReachable:
    """Open a connection, which is kept for requests."""


@attrs.frozen
class CheckSameProcess:
    """Look whether connections from before now stay open: a crash ends all of them."""


ControlOperation = GrantKeys | ReleaseKeys | CheckReachable | CheckSameProcess


@attrs.frozen
class KeysGranted:
    """The backend server holds the positions."""

    load: LoadReport | None = None


@attrs.frozen
class KeysReleased:
    """The backend server no longer holds the positions."""

    handover: str = ""


@attrs.frozen
class Reachable:
    """A connection could be opened."""


class ControlErrorKind(enum.Enum):
    """Reason why a control call failed."""

    NOT_SENT = "not_sent"  # the server cannot be reached
    NO_ANSWER = "no_answer"  # it may have been carried out, or may be later
    FENCED = "fenced"  # the server has seen a higher token
    REFUSED = "refused"  # another server, or a call that it does not accept


@attrs.frozen
class ControlError:
    """Failure of a control call."""

    kind: ControlErrorKind
    status: int = 0


ControlResult = Result[KeysGranted | KeysReleased | Reachable, ControlError]
