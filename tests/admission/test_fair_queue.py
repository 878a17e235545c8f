"""Guards the admission queue against unfairness, late work and lost requests."""

from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from wagtailrill.admission.fair_queue import FairQueue
from wagtailrill.admission.models import Item, QueueSettings
from wagtailrill.core.refusals import Ran, RefusalCode

FAR_S = 1e9


def fill(queue, organisation, count, first_id, deferrable=False, deadline_s=FAR_S):
    for request_id in range(first_id, first_id + count):
        item = Item(request_id, organisation, deadline_s, deferrable)
        assert queue.push(item) is None


def test_serves_backlogged_organisations_by_weight():
    """Guards against a busy organisation that delays the others."""
    queue = FairQueue()
    queue.configure({"large": 3.0})
    fill(queue, "large", 60, 0)
    fill(queue, "small", 60, 100)
    served = Counter(queue.pop(0.0).organisation for _ in range(40))
    assert served == {"large": 30, "small": 10}


def test_idle_time_is_not_saved_up():
    """Guards against a burst of one organisation after a break."""
    queue = FairQueue()
    fill(queue, "steady", 50, 0)
    for _ in range(30):
        queue.pop(0.0)
    fill(queue, "returning", 20, 100)
    served = Counter(queue.pop(0.0).organisation for _ in range(20))
    assert abs(served["steady"] - served["returning"]) <= 1


def test_blocked_time_is_saved_up_only_to_a_bound():
    """Guards against starvation by requests that become eligible together."""
    queue = FairQueue()
    fill(queue, "blocked", 60, 0)
    fill(queue, "free", 60, 100)
    for _ in range(30):
        assert queue.pop(0.0, lambda item: item.organisation == "free")
    served = Counter(queue.pop(0.0).organisation for _ in range(20))
    assert served["free"] >= 7


def test_ineligible_head_does_not_block_its_organisation():
    """Guards against one key's busy server blocking other keys."""
    queue = FairQueue()
    fill(queue, "a", 3, 0)
    assert queue.pop(0.0, lambda item: item.request_id == 1).request_id == 1
    assert queue.pop(0.0, lambda item: False) is None
    assert [queue.pop(0.0).request_id for _ in range(2)] == [0, 2]


def test_drops_expired_and_hopeless_requests():
    """Guards against work for callers that have given up."""
    queue = FairQueue()
    queue.service_time_s = 0.5
    fill(queue, "a", 1, 1, deadline_s=1.0)
    fill(queue, "a", 1, 2, deadline_s=2.0)
    assert queue.pop(0.6).request_id == 2
    assert [item.request_id for item in queue.expire(0.6)] == [1]
    assert queue.expire(0.6) == []


def test_one_slow_answer_does_not_drop_requests():
    """Guards against refusals after a single long service time."""
    queue = FairQueue()
    for service_time_s in (0.01,) * 50 + (2.0,):
        queue.record_service_time(service_time_s)
    assert queue.service_time_s < 0.05


def test_deferrable_requests_wait_but_never_starve():
    """Guards against deferrable work that delays others or is never run."""
    queue = FairQueue()
    fill(queue, "a", 500, 1000, deferrable=True)
    served = Counter()
    for request_id in range(400):
        fill(queue, "b", 1, request_id)
        served[queue.pop(0.0).deferrable] += 1
    assert 0.04 * 400 <= served[True] <= 0.06 * 400


@pytest.mark.parametrize("deferrable", [False, True])
def test_full_queues_refuse_with_retry_after(deferrable):
    """Guards against unbounded queues and refusals that look like losses."""
    cfg = QueueSettings(2, 3, deferrable_per_organisation=2, deferrable=3)
    queue = FairQueue(cfg)
    fill(queue, "a", 2, 0, deferrable)
    refused = [queue.push(Item(10, "a", FAR_S, deferrable))]
    fill(queue, "b", 1, 20, deferrable)
    refused.append(queue.push(Item(11, "c", FAR_S, deferrable)))
    for refusal in refused:
        assert refusal.code is RefusalCode.QUEUE_FULL
        assert refusal.ran is Ran.NO
        assert refusal.retry_after_s > 0
    assert queue.push(Item(12, "c", FAR_S, not deferrable)) is None


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(
            st.just("push"), st.sampled_from("abc"), st.floats(0, 20), st.booleans()
        ),
        st.tuples(st.just("pop"), st.integers(1, 3)),
        st.tuples(st.just("remove"), st.integers(0, 40)),
        st.tuples(st.just("expire"), st.floats(0, 1)),
    ),
    max_size=80,
)


@settings(derandomize=True, max_examples=300)
@given(OPERATIONS)
def test_every_request_leaves_exactly_once(operations):
    """Guards against requests that are lost, served twice or served late."""
    queue = FairQueue(QueueSettings(4, 8, 4, 6))
    waiting, now_s = {}, 0.0
    for request_id, (kind, *args) in enumerate(operations):
        left = []
        if kind == "push":
            item = Item(request_id, args[0], args[1], args[2])
            if queue.push(item) is None:
                waiting[request_id] = item
        elif kind == "pop":
            step = args[0]
            item = queue.pop(now_s, lambda i, step=step: i.request_id % step == 0)
            assert item is None or item.deadline_s > now_s
            left = [item] if item else []
        elif kind == "remove":
            item = queue.remove(args[0])
            due = args[0] in waiting and waiting[args[0]].deadline_s > now_s
            assert item is not None or not due
            left = [item] if item else []
        else:
            now_s += args[0]
            left = queue.expire(now_s)
        for item in left:
            assert waiting.pop(item.request_id) == item
    left = queue.expire(now_s)
    while (item := queue.pop(now_s)) is not None:
        left.append(item)
    assert sorted(i.request_id for i in left) == sorted(waiting)
    assert len(queue) == 0
