"""Paths and field names of wagtailrill's own control calls to backend servers."""

from typing import Final

from ..gateway.json_control import ControlNames

CONTROL_NAMES: Final = ControlNames(
    grant_path="/-/grant",
    release_path="/-/release",
    first="first",
    last="last",
    fence="fence",
    duration="duration_s",
    duration_of=float,
    handover="handover",
    handover_header=b"wagtailrill-handover",
)
