"""Checks invariants at run time; all components use it through the context."""

from collections.abc import Callable

import attrs


class InvariantError(AssertionError):
    """An invariant of docs/design.md is violated."""


@attrs.define
class Invariants:
    """Counts violated invariants by name.

    With `raise_errors` a violation raises `InvariantError`; production turns it off.
    """

    raise_errors: bool = True
    violations: dict[str, int] = attrs.field(factory=dict)
    on_violation: Callable[[str, str], None] | None = None

    def check(self, holds: bool, name: str, detail: str = "") -> bool:
        """Record a violation unless the named invariant holds; return whether it does.

        Raises `InvariantError` on a violation if `raise_errors` is set.
        """
        if holds:
            return True
        self.violations[name] = self.violations.get(name, 0) + 1
        if self.on_violation is not None:
            self.on_violation(name, detail)
        if self.raise_errors:
            raise InvariantError(f"{name}: {detail}")
        return False
