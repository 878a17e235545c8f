"""Guards against replayed peer messages."""

from wagtailrill.peer.link import SequenceFilter
from wagtailrill.peer.registry import Envelope


def make_envelope(sequence, incarnation=1):
    return Envelope("a", incarnation, "b", 0, sequence, None)


def test_duplicate_and_out_of_order_messages_are_dropped():
    """Guards against handling a replayed message twice."""
    sequence_filter = SequenceFilter()
    accepted = [sequence_filter.accept(make_envelope(n)) for n in (1, 3, 2, 3, 4)]
    assert accepted == [True, True, False, False, True]


def test_late_message_of_an_old_process_does_not_reset_the_sequence_of_the_new_one():
    """Guards against replay after a late message of the previous incarnation."""
    sequence_filter = SequenceFilter()
    assert sequence_filter.accept(make_envelope(5, incarnation=2))
    assert sequence_filter.accept(make_envelope(9, incarnation=1))
    assert not sequence_filter.accept(make_envelope(5, incarnation=2))
