"""Retries of all routers together, and of one after a crash."""

import bisect
import random

import pytest

from toucanrudder.forwarding import state as states
from toucanrudder.forwarding.attempts import retry_window
from toucanrudder.membership import fleet_size

BOUNDS = retry_window.RetryBounds(0.2, 56.0, 10.0)


def count_between(times, after_s, until_s):
    return bisect.bisect_right(times, until_s) - bisect.bisect_right(
        times, after_s
    )


def allowed_retries(requests, until_s, bounds):
    """Return the stated bound on a window that ends then."""
    spans = (0.0, bounds.window_s / 2, bounds.window_s)
    return bounds.slack + bounds.ratio * max(
        count_between(requests, until_s - bounds.window_s - s, until_s - s)
        for s in spans
    )


@pytest.mark.parametrize("routers", [1, 8, 80])
@pytest.mark.parametrize("seed", range(4))
def test_all_routers_together_stay_within_the_retry_bound(routers, seed):
    # Traffic comes in bursts and unevenly over routers, and engines fail as
    # many requests as routers would retry.
    rng = random.Random(seed)
    windows = [retry_window.RetryWindow(BOUNDS) for _ in range(routers)]
    fleet = fleet_size.FleetView(routers)
    requests, retries, rate = [], [], 0
    for step in range(900):
        now_s = step * 0.05
        rate = rng.choice([0, 5, 20]) if step % 40 == 0 else rate
        for _ in range(rate):
            window = windows[int(routers * rng.random() ** 2)]
            window.record_request(now_s)
            requests.append(now_s)
            if step // 100 % 2 and window.spend(now_s, fleet):
                retries.append(now_s)
    for until_s in retries:
        sent_again = count_between(retries, until_s - BOUNDS.window_s, until_s)
        assert sent_again <= allowed_retries(requests, until_s, BOUNDS)


def after_steady_traffic(routers, per_router_s=10):
    window = retry_window.RetryWindow(BOUNDS)
    for tick in range(200):
        for _ in range(per_router_s // 10):
            window.record_request(tick * 0.1)
    return window


def test_a_crash_of_many_requests_leaves_enough_retries():
    # An engine crashes during fifteen requests of this router.  With a token
    # bucket of a few retries, twelve of them would be lost although there
    # were no retries before.
    window = after_steady_traffic(routers=8)
    fleet = fleet_size.FleetView(routers=8)
    granted = [window.spend(20.0, fleet) for _ in range(40)]
    assert 15 <= granted.count(True) <= 0.2 * 100 + 56 / 8
    assert not window.spend(20.5, fleet)
    assert window.spend(31.0, fleet)


def test_each_router_of_a_large_fleet_can_retry():
    # 82 routers share a bound of about 200 retries, and each gets six
    # requests per second.  If a router's share stayed below one retry, each
    # request that an engine refuses would be lost.
    window = retry_window.RetryWindow(
        retry_window.RetryBounds(0.2, 204.0, 10.0)
    )
    for tick in range(60):
        window.record_request(tick / 6)
    assert window.spend(10.0, fleet_size.FleetView(routers=82))


def count_granted(window, now_s, fleet):
    return [window.spend(now_s, fleet) for _ in range(100)].count(True)


def test_routers_that_start_leave_the_bound_to_their_predecessors():
    # All of them may have used their shares in the same window.
    fleet = fleet_size.FleetView(routers=2)
    rest = (1 - retry_window.MATURE_SHARE) * BOUNDS.slack
    for age_s in (0.0, 5.0, 9.9):
        windows = [retry_window.RetryWindow(BOUNDS, 50.0) for _ in range(2)]
        granted = sum(
            count_granted(window, 50.0 + age_s, fleet) for window in windows
        )
        assert granted <= rest * age_s / BOUNDS.window_s
    window = retry_window.RetryWindow(BOUNDS, 50.0)
    assert count_granted(window, 61.0, fleet) > rest / 2


VIEWS = {
    "all are known": (fleet_size.FleetView(8), 5),
    "some are unknown": (fleet_size.FleetView(8, is_complete=False), 1),
    "none is known": (fleet_size.FleetView(1, is_complete=False), 0),
}


@pytest.mark.parametrize(("fleet", "granted"), VIEWS.values(), ids=VIEWS)
def test_a_router_that_may_not_know_all_others_waits_for_its_slack(
    fleet, granted
):
    window = retry_window.RetryWindow(BOUNDS, 50.0)
    assert count_granted(window, 61.0, fleet) == granted


def test_a_router_that_has_known_all_others_remembers_them():
    state = states.ForwardingState("r1", "", random.Random(1), BOUNDS)
    state.has_unknown_seeds, state.live_routers = lambda: True, lambda: 4
    assert state.fleet(1.0) == fleet_size.FleetView(4, is_complete=False)
    state.has_unknown_seeds, state.live_routers = lambda: False, lambda: 8
    assert state.fleet(2.0) == fleet_size.FleetView(8)
    state.has_unknown_seeds, state.live_routers = lambda: True, lambda: 1
    assert state.fleet(3.0) == fleet_size.FleetView(8)
