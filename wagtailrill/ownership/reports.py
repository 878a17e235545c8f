"""Report of a member to the coordinator: its table version and recent grants."""

import json

import attrs


@attrs.frozen
class MemberReport:
    """The version by which a member grants, and the ages of its last grants in s.

    The age counts from sending, which is before the backend server received it.
    `leased` is false when the member lease has ended or was given up.
    """

    version: int
    grant_ages_s: dict[str, float]
    leased: bool = True

    def to_bytes(self) -> bytes:
        """Return the payload for a heartbeat reply."""
        return json.dumps([self.version, self.grant_ages_s, self.leased]).encode()

    @classmethod
    def from_bytes(cls, payload: bytes) -> "MemberReport":
        """Return the report; raise `ValueError` for a malformed payload."""
        try:
            version, ages, leased = json.loads(payload)
            ages_s = {str(name): float(age) for name, age in ages.items()}
            return cls(int(version), ages_s, bool(leased))
        except (TypeError, AttributeError) as exc:
            raise ValueError("malformed ownership report") from exc
