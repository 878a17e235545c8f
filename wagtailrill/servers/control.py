"""Operations and results of control calls to backend servers.

Key ownership, the crash guard and the server table make these calls.
"""

import enum
from typing import Final

import attrs
from expression import Result

from ..core.request_models import LoadReport

# A grant that is not answered within this time is abandoned, and its connection closed.
GRANT_TIMEOUT_S: Final = 0.35


@attrs.frozen
class GrantKeys:
    """Grant key positions `first` to `last` for `duration_s` seconds.

    The same call again extends the grant. `handover` is what the former owner answered
    to the release of these keys.
    """

    first: int
    last: int
    fence: int
    duration_s: float
    handover: str = ""


@attrs.frozen
class ReleaseKeys:
    """Revoke key positions; answered when the work that runs on them has ended."""

    first: int
    last: int
    fence: int


@attrs.frozen
class CheckReachable:
    """Open a connection, which is kept for later requests."""


@attrs.frozen
class CheckSameProcess:
    """Check whether connections opened before now are still open.

    A crash of the server closes all of them.
    """


ControlOperation = GrantKeys | ReleaseKeys | CheckReachable | CheckSameProcess


@attrs.frozen
class KeysGranted:
    """The backend server holds the key positions."""

    load: LoadReport | None = None


@attrs.frozen
class KeysReleased:
    """The backend server no longer holds the key positions."""

    handover: str = ""


@attrs.frozen
class Reachable:
    """A connection could be opened."""


class ControlErrorKind(enum.Enum):
    """Reason why a control call failed."""

    NOT_SENT = "not_sent"  # the server cannot be reached
    NO_ANSWER = "no_answer"  # the call may have been executed, or may be later
    FENCED = "fenced"  # the server has certainly seen a higher fencing token
    REFUSED = "refused"  # any other error; the call may have been executed

    @property
    def excludes_effect(self) -> bool:
        """Return whether the call has had no effect and will have none."""
        return self in (ControlErrorKind.NOT_SENT, ControlErrorKind.FENCED)


@attrs.frozen
class ControlError:
    """Failure of a control call."""

    kind: ControlErrorKind
    status: int = 0


ControlResult = Result[KeysGranted | KeysReleased | Reachable, ControlError]
