"""State of the backend servers on the virtual clock, and of requests sent to them."""

import random
from collections.abc import Callable

import attrs

from ..core.request_models import BackendRequest
from .server_model import ServerModel
from .virtual_fleet import NodeRow


@attrs.frozen
class Execution:
    """One run of a request at a backend server.

    `start` is the number of the server's process start, `position` that of the key.
    """

    at_s: float
    server: str
    start: int
    caller_request_id: str
    organisation: str
    position: int | None


@attrs.define(eq=False)
class Exchange:
    """A request that an instance's process has sent to a backend server."""

    row: NodeRow
    request: BackendRequest
    server: "VirtualServer"
    started_s: float
    running: bool = False
    ended: bool = False


@attrs.define(eq=False)
class VirtualServer:
    """A backend server with its faults.

    Instances in `cut_instances` cannot reach it. A frozen server handles nothing until
    it is unfrozen. `lost_call_probability` is the part of the control calls that take
    effect `late_s` seconds late and are not answered. With `entry_says_ready` only its
    answers say that it leaves; with `entry_hidden` its entry is not in the store.
    """

    model: ServerModel
    data_centre: str
    down: bool = False
    frozen: bool = False
    announced: bool = True
    entry_says_ready: bool = False
    entry_hidden: bool = False
    cut_instances: set[str] = attrs.field(factory=set)
    lost_call_probability: float = 0.0
    late_s: float = 5.0
    entry_sequence: int = 0
    held_callbacks: list[Callable[[], None]] = attrs.field(factory=list)
    queue: list[Exchange] = attrs.field(factory=list)
    exchanges: set[Exchange] = attrs.field(factory=set)


@attrs.frozen
class RunEffect:
    """How a run of a request differs from a usual one."""

    time_ratio: float = 1.0
    fails: bool = False


def draw_delay_s(rng: random.Random) -> float:
    """Return the random delay of a message between an instance and a server."""
    return 0.0005 * rng.uniform(0.8, 1.5)
