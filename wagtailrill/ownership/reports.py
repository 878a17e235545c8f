"""Report of a member to the coordinator: its table version and recent grants."""

import json

import attrs


@attrs.frozen
class MemberReport:
    """The version by which a member grants, and the ages of its last grants in s.

    The age counts from sending, which is before the backend server received it.
    """

    version: int
    grant_ages_s: dict[str, float]

    def to_bytes(self) -> bytes:
        """Return the payload for a heartbeat reply."""
        return json.dumps([self.version, self.grant_ages_s]).encode()

    @classmethod
    def from_bytes(cls, payload: bytes) -> "MemberReport":
        """Return the report; raise `ValueError` for a malformed payload."""
        try:
            version, ages = json.loads(payload)
            return cls(int(version), {str(k): float(v) for k, v in ages.items()})
        except (TypeError, AttributeError) as exc:
            raise ValueError("malformed ownership report") from exc
