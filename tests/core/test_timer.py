"""Tests that the timer service runs callbacks when they are due, once and in order."""

from wagtailrill.core.timer import TimerService


def test_runs_callbacks_in_due_order():
    """Guards against callbacks that run in order of registration, not of due time."""
    timers, ran = TimerService(), []
    timers.call_later(2.0, lambda: ran.append("late"))
    timers.call_later(1.0, lambda: ran.append("early"))
    timers.advance(3.0)
    assert ran == ["early", "late"]


def test_skips_runs_missed_during_a_pause():
    """Guards against a burst of overdue runs after a pause of the process."""
    timers, ran = TimerService(), []
    timers.call_every(1.0, lambda: ran.append(None))
    timers.advance(0.0)
    timers.advance(100.0)
    assert len(ran) <= 3


def test_cancelled_callback_does_not_run():
    """Guards against timeouts that fire after they were cancelled."""
    timers, ran = TimerService(), []
    timers.call_later(1.0, lambda: ran.append(None)).cancel()
    timers.advance(2.0)
    assert ran == []
    assert timers.get_next_due_s() is None
