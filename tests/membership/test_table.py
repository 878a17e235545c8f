"""Guards the stored form of the cell table."""

import pytest

from wagtailrill.membership.table import (
    CellTable,
    HotKey,
    ServiceSlots,
    SlotOwner,
    SlotState,
)
from wagtailrill.partitions.directory import Home, Member

TABLE = CellTable(
    term=3,
    coordinator=Member("i-1", 7),
    write_id="w",
    members=(Member("i-1", 7), Member("i-2", 9)),
    homes=(Home("i-1", 4), Home("", 0)),
    key_slots=(
        ServiceSlots(
            "ledgerroll",
            (SlotOwner("l-1", 5), SlotOwner("l-2", 6, SlotState.MOVING, "l-1")),
        ),
    ),
    hot_keys=(HotKey("ledgerroll", 2**63 + 1, SlotOwner("l-2", 8)),),
)


def test_table_survives_the_stored_form():
    """Guards against an assignment that changes by being stored."""
    assert CellTable.from_bytes(TABLE.to_bytes()) == TABLE


@pytest.mark.parametrize("document", [b"", b"{}", b"[]", b"null", b'{"term": 1}'])
def test_malformed_table_is_a_value_error(document):
    """Guards against a damaged document that ends the process."""
    with pytest.raises(ValueError):
        CellTable.from_bytes(document)
