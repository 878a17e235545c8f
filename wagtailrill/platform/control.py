"""Paths and field names of the platform's control calls to backend servers."""

from typing import Final

from ..gateway.json_control import ControlNames
from . import wire
from .units import format_duration

CONTROL_NAMES: Final = ControlNames(
    grant_path="/grant",
    release_path="/release",
    first="from",
    last="target",  # the last key position of the range, not a server
    fence="fence",
    duration="hold_time",
    duration_of=format_duration,
    handover="handover",
    handover_header=wire.HANDOVER,
)
