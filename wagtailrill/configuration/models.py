"""Which configuration is in force and how current it is, and why one is not."""

import attrs


@attrs.frozen
class ConfigurationStatus:
    """The configuration that decisions are based on, and its age in seconds.

    `version` is the operator's own name of it, and `revision` the store revision at
    which it was written. `in_force_s` counts from when all components had applied it,
    and `age_s` from when the store last confirmed that it is the newest. A newer one is
    known while `failed_listeners` names components that have yet to apply it.
    """

    version: str
    revision: int
    in_force_s: float
    age_s: float
    failed_listeners: tuple[str, ...] = ()


@attrs.frozen
class InvalidDeclaration:
    """Why a declaration cannot be applied; `version` is empty if it has none."""

    reason: str
    version: str = ""
