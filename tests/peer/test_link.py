"""Guards the peer link against replay."""

from wagtailrill.peer.link import SequenceFilter
from wagtailrill.peer.registry import Envelope


def envelope(sequence, incarnation=1):
    return Envelope("a", incarnation, "b", 0, sequence, None)


def test_drops_repeated_and_overtaken_messages():
    """Guards against a replayed message being handled twice."""
    messages = SequenceFilter()
    accepted = [messages.accept(envelope(n)) for n in (1, 3, 2, 3, 4)]
    assert accepted == [True, True, False, False, True]


def test_late_message_of_an_old_process_does_not_reset_the_new_one():
    """Guards against replay after a late message of the previous incarnation."""
    messages = SequenceFilter()
    assert messages.accept(envelope(5, incarnation=2))
    assert messages.accept(envelope(9, incarnation=1))
    assert not messages.accept(envelope(5, incarnation=2))
