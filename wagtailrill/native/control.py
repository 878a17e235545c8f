"""Paths and field names of wagtailrill's own control calls to backend servers."""

from typing import Final

from ..gateway.json_control import ControlNames

CONTROL_NAMES: Final = ControlNames(
    grant_path="/-/grant",
    release_path="/-/release",
    first_field="first",
    last_field="last",
    fence_field="fence",
    duration_field="duration_s",
    encode_duration=float,
    handover_field="handover",
    handover_header=b"wagtailrill-handover",
)
