import asyncio
import collections

import pytest

from toucanrudder import errors
from toucanrudder.admission import fair
from toucanrudder.admission import limits
from toucanrudder.admission import queue
from toucanrudder.document import model
from toucanrudder.messages import Priority

URGENT, NORMAL, BACKGROUND = Priority


def entry(name, priority=NORMAL, weight=1.0, arrived_s=0.0):
    return fair.Entry(name, weight, priority, 1e9, arrived_s)


def served(waiting, turns):
    fair_queue = fair.FairQueue()
    for item in waiting:
        fair_queue.push(item)
    return [fair_queue.pop() for _ in range(turns)]


SHARES = [
    # One organisation floods the queue; seven have a few requests each.
    ([("big", NORMAL, 1.0, 400)], 3),
    # The same, with urgent requests in the flood.
    ([("big", URGENT, 1.0, 400)], 3),
    # With twice the weight the flood gets twice the turns, not all.
    ([("big", NORMAL, 2.0, 400)], 3),
]


@pytest.mark.parametrize(("floods", "small_requests"), SHARES)
def test_a_flood_does_not_starve_small_organisations(floods, small_requests):
    """Seven organisations have three requests each beside a flood of 400.

    Without fair shares they would be served after the whole flood.  With
    them, their 21 requests are served within about as many requests of the
    flood, plus the lead of its priority class.
    """
    waiting = [
        entry(name, priority, weight, arrived_s=-1.0)
        for name, priority, weight, count in floods
        for _ in range(count)
    ]
    waiting += [
        entry(f"small{i}") for i in range(7) for _ in range(small_requests)
    ]
    turns = 7 * small_requests + 2 * small_requests + int(fair.CLASS_LEAD) + 1
    counts = collections.Counter(
        e.organisation for e in served(waiting, turns)
    )
    assert sum(counts[f"small{i}"] for i in range(7)) == 7 * small_requests


def test_urgent_requests_within_their_share_are_served_first():
    waiting = [entry(f"o{i}", p) for i in range(8) for p in Priority] * 1
    first = served(waiting, 8)
    assert {e.priority for e in first} == {URGENT}


def test_background_is_served_under_a_steady_urgent_load():
    """One organisation's background request waits while another sends urgent
    requests without end.  Ordered by class alone it would never be served.
    """
    fair_queue = fair.FairQueue()
    fair_queue.push(entry("reviews", BACKGROUND))
    for turn in range(1000):
        fair_queue.push(entry("crews", URGENT, arrived_s=float(turn)))
        if fair_queue.pop().organisation == "reviews":
            break
    assert turn <= 2 * fair.CLASS_LEAD + 1


def test_background_ages_within_its_own_organisation():
    fair_queue = fair.FairQueue()
    fair_queue.push(entry("crews", BACKGROUND))
    order = []
    for second in range(20):
        fair_queue.push(entry("crews", URGENT, arrived_s=float(second)))
        order.append(fair_queue.pop().priority)
    assert order.index(BACKGROUND) == int(2 * fair.AGEING_S)


def test_an_idle_organisation_earns_no_service():
    fair_queue = fair.FairQueue()
    for _ in range(50):
        fair_queue.push(entry("busy"))
        fair_queue.pop()
    for _ in range(10):
        fair_queue.push(entry("idle"))
        fair_queue.push(entry("busy"))
    names = [fair_queue.pop().organisation for _ in range(10)]
    assert 4 <= names.count("busy") <= 6


def acme(name="acme", weight=1.0):
    return model.Organisation(name, weight=weight)


class ManualClock:
    """A clock that the test sets."""

    now_s = 0.0

    def __call__(self):
        return self.now_s


async def run_pending_tasks():
    for _ in range(5):
        await asyncio.sleep(0)


async def test_freed_places_go_to_waiting_requests_in_order():
    admission_queue = queue.AdmissionQueue(1, 10)
    log = []

    async def run(name, priority):
        async with admission_queue.admitted(acme(name), priority, 1e12):
            log.append(name)
            await asyncio.sleep(0)

    async with admission_queue.admitted(acme("first"), NORMAL, 1e12):
        late = asyncio.create_task(run("late", BACKGROUND))
        gone = asyncio.create_task(run("gone", NORMAL))
        soon = asyncio.create_task(run("soon", URGENT))
        await run_pending_tasks()
        gone.cancel()
        await run_pending_tasks()
    await asyncio.gather(late, soon)
    assert log == ["soon", "late"]
    assert (admission_queue.running, admission_queue.waiting) == (0, 0)


async def test_a_place_granted_to_a_caller_that_leaves_is_freed():
    """A place is granted and the caller cancels in the same loop iteration.

    If the grant were lost, the router would have one place less from then
    on, and after enough such cancellations none.
    """
    admission_queue = queue.AdmissionQueue(1, 10)
    holder = admission_queue.admitted(acme(), NORMAL, 1e12)
    await holder.__aenter__()

    async def wait():
        async with admission_queue.admitted(acme(), NORMAL, 1e12):
            pass

    task = asyncio.create_task(wait())
    await run_pending_tasks()
    await holder.__aexit__(None, None, None)
    task.cancel()
    await asyncio.wait([task])
    assert (admission_queue.running, admission_queue.waiting) == (0, 0)


REFUSALS = [
    # capacity, max_queued, waiting, deadline_s, code
    (1, 10, 5, 0.05, errors.Code.DEADLINE_UNMET),
    (1, 5, 5, 1e9, errors.Code.QUEUE_FULL),
]


@pytest.mark.parametrize(
    ("capacity", "max_queued", "waiting", "deadline_s", "code"), REFUSALS
)
async def test_requests_that_cannot_be_admitted_are_refused_at_once(
    capacity, max_queued, waiting, deadline_s, code
):
    admission_queue = queue.AdmissionQueue(
        capacity, max_queued, clock=ManualClock()
    )
    tasks = []

    async def wait():
        async with admission_queue.admitted(acme(), NORMAL, 1e9):
            await asyncio.Event().wait()

    for _ in range(capacity + waiting):
        tasks.append(asyncio.create_task(wait()))
    await run_pending_tasks()
    with pytest.raises(errors.RudderError) as caught:
        async with admission_queue.admitted(acme(), NORMAL, deadline_s):
            pass
    assert caught.value.code is code
    assert caught.value.ran is errors.Ran.NOT_RUN
    assert caught.value.retry_after_s > 0
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    assert (admission_queue.running, admission_queue.waiting) == (0, 0)


async def test_a_full_queue_evicts_the_flood_for_a_small_organisation():
    admission_queue = queue.AdmissionQueue(1, 4)
    tasks = []

    async def wait(name):
        async with admission_queue.admitted(acme(name), NORMAL, 1e12):
            await asyncio.sleep(0)
            return name

    async with admission_queue.admitted(acme("big"), NORMAL, 1e12):
        tasks += [asyncio.create_task(wait("big")) for _ in range(4)]
        await run_pending_tasks()
        tasks.append(asyncio.create_task(wait("small")))
        await run_pending_tasks()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    assert results[-1] == "small"
    assert [getattr(result, "code", result) for result in results[:4]] == [
        "big"
    ] * 3 + [errors.Code.QUEUE_FULL]


LIMITS = [
    # requests_per_s, burst, routers, gap_s, expected grants of 20
    (8.0, 8.0, 1, 0.0, 8),
    (8.0, 8.0, 4, 0.0, 2),
    (8.0, 8.0, 4, 0.25, 11),
    (8.0, 8.0, 400, 0.0, 1),
]


@pytest.mark.parametrize(
    ("rate", "burst", "routers", "gap_s", "expected"), LIMITS
)
def test_each_router_grants_its_share(rate, burst, routers, gap_s, expected):
    limiter = limits.RateLimiter()
    organisation = model.Organisation(
        "a", requests_per_s=rate, burst_requests=burst
    )
    granted = 0
    for index in range(20):
        try:
            limiter.check(organisation, routers, index * gap_s)
            granted += 1
        except errors.RudderError as error:
            assert error.code is errors.Code.LIMIT_EXCEEDED
            assert error.retry_after_s > 0
    assert granted == expected
