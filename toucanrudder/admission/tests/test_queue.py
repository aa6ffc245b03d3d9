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
    line = fair.FairQueue()
    for item in waiting:
        line.push(item)
    return [line.pop() for _ in range(turns)]


SHARES = [
    # One large organisation floods; seven small ones wait with a few.
    ([("big", NORMAL, 1.0, 400)], 3),
    # The same, and the flood claims to be urgent.
    ([("big", URGENT, 1.0, 400)], 3),
    # Twice the weight gets twice the turns, not all of them.
    ([("big", NORMAL, 2.0, 400)], 3),
]


@pytest.mark.parametrize(("floods", "each"), SHARES)
def test_a_flood_does_not_starve_small_organisations(floods, each):
    """Seven callers with three requests each wait beside a flood of 400.

    Without fair shares they'd be answered after the whole flood.  Within
    shares their 21 requests are through after about as many turns of the
    flood, plus the lead that its class may take.
    """
    waiting = [
        entry(name, priority, weight, arrived_s=-1.0)
        for name, priority, weight, count in floods
        for _ in range(count)
    ]
    waiting += [entry(f"small{i}") for i in range(7) for _ in range(each)]
    turns = 7 * each + 2 * each + int(fair.CLASS_LEAD) + 1
    counts = collections.Counter(
        e.organisation for e in served(waiting, turns)
    )
    assert sum(counts[f"small{i}"] for i in range(7)) == 7 * each


def test_an_urgent_request_goes_before_all_others_within_its_share():
    waiting = [entry(f"o{i}", p) for i in range(8) for p in Priority] * 1
    first = served(waiting, 8)
    assert {e.priority for e in first} == {URGENT}


def test_background_is_reached_under_a_steady_urgent_load():
    """An organisation's background request waits while others send urgent
    requests for ever.  By class alone it would never be served.
    """
    line = fair.FairQueue()
    line.push(entry("reviews", BACKGROUND))
    for turn in range(1000):
        line.push(entry("crews", URGENT, arrived_s=float(turn)))
        if line.pop().organisation == "reviews":
            break
    assert turn <= 2 * fair.CLASS_LEAD + 1


def test_background_ages_beside_its_own_organisations_urgent_load():
    line = fair.FairQueue()
    line.push(entry("crews", BACKGROUND))
    order = []
    for second in range(20):
        line.push(entry("crews", URGENT, arrived_s=float(second)))
        order.append(line.pop().priority)
    assert order.index(BACKGROUND) == int(2 * fair.AGEING_S)


def test_an_idle_organisation_saves_up_no_service():
    line = fair.FairQueue()
    for _ in range(50):
        line.push(entry("busy"))
        line.pop()
    for _ in range(10):
        line.push(entry("idle"))
        line.push(entry("busy"))
    names = [line.pop().organisation for _ in range(10)]
    assert 4 <= names.count("busy") <= 6


def acme(name="acme", weight=1.0):
    return model.Organisation(name, weight=weight)


class Steps:
    """A clock that the test moves."""

    now_s = 0.0

    def __call__(self):
        return self.now_s


async def spin():
    for _ in range(5):
        await asyncio.sleep(0)


async def test_places_pass_on_in_order_and_survive_callers_that_leave():
    line = queue.AdmissionQueue(1, 10)
    log = []

    async def run(name, priority):
        async with line.admitted(acme(name), priority, 1e12):
            log.append(name)
            await asyncio.sleep(0)

    async with line.admitted(acme("first"), NORMAL, 1e12):
        late = asyncio.create_task(run("late", BACKGROUND))
        gone = asyncio.create_task(run("gone", NORMAL))
        soon = asyncio.create_task(run("soon", URGENT))
        await spin()
        gone.cancel()
        await spin()
    await asyncio.gather(late, soon)
    assert log == ["soon", "late"]
    assert (line.running, line.waiting) == (0, 0)


async def test_a_caller_that_leaves_as_its_turn_comes_passes_it_on():
    """The place is granted and the caller leaves in the same loop pass.

    Were the grant lost, the router would serve one request less at once
    for the rest of its life, and stand still in the end.
    """
    line = queue.AdmissionQueue(1, 10)
    holder = line.admitted(acme(), NORMAL, 1e12)
    await holder.__aenter__()

    async def wait():
        async with line.admitted(acme(), NORMAL, 1e12):
            pass

    task = asyncio.create_task(wait())
    await spin()
    await holder.__aexit__(None, None, None)
    task.cancel()
    await asyncio.wait([task])
    assert (line.running, line.waiting) == (0, 0)


REFUSALS = [
    # capacity, max_queued, waiting before, deadline_s, code
    (1, 10, 5, 0.05, errors.Code.DEADLINE_UNMET),
    (1, 5, 5, 1e9, errors.Code.QUEUE_FULL),
]


@pytest.mark.parametrize(
    ("capacity", "most", "before", "deadline_s", "code"), REFUSALS
)
async def test_hopeless_requests_are_refused_at_once(
    capacity, most, before, deadline_s, code
):
    line = queue.AdmissionQueue(capacity, most, clock=Steps())
    tasks = []

    async def wait():
        async with line.admitted(acme(), NORMAL, 1e9):
            await asyncio.Event().wait()

    for _ in range(capacity + before):
        tasks.append(asyncio.create_task(wait()))
    await spin()
    with pytest.raises(errors.RudderError) as caught:
        async with line.admitted(acme(), NORMAL, deadline_s):
            pass
    assert caught.value.code is code
    assert caught.value.ran is errors.Ran.NOT_RUN
    assert caught.value.retry_after_s > 0
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    assert (line.running, line.waiting) == (0, 0)


async def test_a_full_queue_gives_up_the_flood_not_the_small_caller():
    line = queue.AdmissionQueue(1, 4)
    tasks = []

    async def wait(name):
        async with line.admitted(acme(name), NORMAL, 1e12):
            await asyncio.sleep(0)
            return name

    async with line.admitted(acme("big"), NORMAL, 1e12):
        tasks += [asyncio.create_task(wait("big")) for _ in range(4)]
        await spin()
        tasks.append(asyncio.create_task(wait("small")))
        await spin()
    done = await asyncio.gather(*tasks, return_exceptions=True)
    assert done[-1] == "small"
    assert [getattr(d, "code", d) for d in done[:4]] == ["big"] * 3 + [
        errors.Code.QUEUE_FULL
    ]


LIMITS = [
    # rate, burst, routers, seconds between, granted of 20
    (8.0, 8.0, 1, 0.0, 8),
    (8.0, 8.0, 4, 0.0, 2),
    (8.0, 8.0, 4, 0.25, 11),
    (8.0, 8.0, 400, 0.0, 1),
]


@pytest.mark.parametrize(("rate", "burst", "routers", "gap_s", "want"), LIMITS)
def test_each_router_grants_its_share(rate, burst, routers, gap_s, want):
    limiter = limits.RateLimiter()
    who = model.Organisation("a", requests_per_s=rate, burst_requests=burst)
    granted = 0
    for index in range(20):
        try:
            limiter.check(who, routers, index * gap_s)
            granted += 1
        except errors.RudderError as error:
            assert error.code is errors.Code.LIMIT_EXCEEDED
            assert error.retry_after_s > 0
    assert granted == want
