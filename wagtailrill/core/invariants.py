"""Invariant checks inside the program."""

from collections.abc import Callable

import attrs


class InvariantError(AssertionError):
    """An invariant of docs/design.md does not hold."""


@attrs.define
class Invariants:
    """Checks invariants; in production a violation is counted, not raised."""

    raise_errors: bool = True
    violations: dict[str, int] = attrs.field(factory=dict)
    on_violation: Callable[[str, str], None] | None = None

    def check(self, holds: bool, name: str, detail: str = "") -> bool:
        """Record a violation of the named invariant unless it holds."""
        if holds:
            return True
        self.violations[name] = self.violations.get(name, 0) + 1
        if self.on_violation is not None:
            self.on_violation(name, detail)
        if self.raise_errors:
            raise InvariantError(f"{name}: {detail}")
        return False
