"""Guards that only the platform adapter contains the platform's wire names."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "wagtailrill"
WIRE_NAMES = re.compile(
    r"op/config|op/evacuate|kv-(txn|key|range|watch|lease|keep)|upstream-signature|"
    r"target-instance|not-executed|warmup_left|expected_rev|(?<!wagtailrill-)deadline-ms|shard-key|"
    r"traffic_split|api_keys|hold_time|store_revision|max_attempts",
    re.IGNORECASE,
)


def test_only_the_adapter_contains_wire_names():
    """Guards against other packages that depend on the platform's wire format.

    The stand-ins are exempt, as they implement the platform's side of the protocol.
    """
    found = [
        f"{file.relative_to(PACKAGE)}: {line.strip()}"
        for file in sorted(PACKAGE.rglob("*.py"))
        if file.relative_to(PACKAGE).parts[0] not in ("platform", "stand_ins")
        for line in file.read_text().splitlines()
        if WIRE_NAMES.search(line)
    ]
    assert found == []
