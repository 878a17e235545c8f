"""Paths and field names of the platform's control calls to backend servers."""

from typing import Final

from ..gateway.json_control import ControlNames
from . import wire
from .units import format_duration

CONTROL_NAMES: Final = ControlNames(
    grant_path="/grant",
    release_path="/release",
    first_field="from",
    last_field="target",  # the last key position of the range, not a server
    fence_field="fence",
    duration_field="hold_time",
    encode_duration=format_duration,
    handover_field="handover",
    handover_header=wire.HANDOVER,
)
