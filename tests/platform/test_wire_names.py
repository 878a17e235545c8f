"""Guards that only the adapter knows the platform's names."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "wagtailrill"
NAMES = re.compile(
    r"op/config|op/evacuate|kv-(txn|key|range|watch|lease|keep)|upstream-signature|"
    r"target-instance|not-executed|warmup_left|expected_rev|(?<!wagtailrill-)deadline-ms|shard-key|"
    r"traffic_split|api_keys|hold_time|store_revision|max_attempts",
    re.IGNORECASE,
)


def test_names_of_the_wire_are_in_the_adapter_alone():
    """Guards against a product that has to change with the platform's spelling.

    The stand-ins speak the platform's protocol towards the adapter.
    """
    found = [
        f"{file.relative_to(PACKAGE)}: {line.strip()}"
        for file in sorted(PACKAGE.rglob("*.py"))
        if file.relative_to(PACKAGE).parts[0] not in ("platform", "stand_ins")
        for line in file.read_text().splitlines()
        if NAMES.search(line)
    ]
    assert found == []
