"""Findings of a check, collected with their place and reported together."""

import attrs


@attrs.frozen
class Finding:
    """One problem: its JSON path (such as `$.services[2].slots`) and a sentence."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


@attrs.define
class Findings:
    """Collects problems in the order in which they are found."""

    items: list[Finding] = attrs.field(factory=list)

    def add(self, path: str, message: str) -> None:
        """Record a problem."""
        self.items.append(Finding(path, message))

    def __bool__(self) -> bool:
        return bool(self.items)
