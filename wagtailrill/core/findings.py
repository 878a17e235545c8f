"""Problems found in input such as settings, reported together with their paths."""

import attrs


@attrs.frozen
class Finding:
    """A problem at a JSON path such as `$.services[2].slots`, stated in a sentence."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


@attrs.define
class Findings:
    """Problems in the order in which they were found; true if there are any."""

    items: list[Finding] = attrs.field(factory=list)

    def add(self, path: str, message: str) -> None:
        """Add a problem."""
        self.items.append(Finding(path, message))

    def __bool__(self) -> bool:
        return bool(self.items)
