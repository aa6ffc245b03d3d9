"""Forecasts of the work of requests, and whether they hold."""

import random
import statistics

import pytest

from toucanrudder.costs import calibration
from toucanrudder.costs import forecast

KEYS = forecast.keys("s", "r", "o")


def draw(rng):
    """Return seconds with a heavy tail."""
    return 0.015 * rng.lognormvariate(0.0, 0.9)


def test_quantiles_of_what_was_seen():
    rng = random.Random(2)
    forecasts = forecast.Forecasts(typical=1.0)
    values = [draw(rng) for _ in range(2_000)]
    for value in values:
        forecasts.record(KEYS, value)
    known = forecasts.forecast(KEYS)
    deciles = statistics.quantiles(values, n=10)
    for number in (2, 5, 8):
        share = known.quantile(number / 10)
        assert share == pytest.approx(deciles[number - 1], rel=0.3)
    assert known.mean == pytest.approx(statistics.mean(values), rel=0.25)


def test_a_new_organisation_is_taken_as_its_route():
    forecasts = forecast.Forecasts(typical=1.0)
    for _ in range(200):
        forecasts.record(forecast.keys("s", "long", "o"), 60.0)
        forecasts.record(forecast.keys("s", "short", "o"), 3.0)
    new = forecasts.forecast(forecast.keys("s", "long", "new"))
    assert new.quantile(0.5) == pytest.approx(60.0, rel=0.2)
    for _ in range(50):
        forecasts.record(forecast.keys("s", "long", "new"), 500.0)
    new = forecasts.forecast(forecast.keys("s", "long", "new"))
    assert new.quantile(0.5) == pytest.approx(500.0, rel=0.2)


def test_requests_that_were_cut_count_as_longer_ones():
    """Guards against a forecast of only what is short enough to end."""
    rng = random.Random(4)
    forecasts = forecast.Forecasts(typical=0.02)
    without = forecast.Forecasts(typical=0.02)
    values = [draw(rng) for _ in range(2_000)]
    limit_s = 0.03
    for value in values:
        if value < limit_s:
            forecasts.record(KEYS, value)
            without.record(KEYS, value)
        else:
            forecasts.record_censored(KEYS, limit_s)
    share = statistics.mean(value < limit_s for value in values)
    known = forecasts.forecast(KEYS).share_below(limit_s)
    assert known == pytest.approx(share, abs=0.08)
    assert without.forecast(KEYS).share_below(limit_s) > known + 0.1


def test_a_request_longer_than_all_before_is_not_about_to_end():
    forecasts = forecast.Forecasts(typical=0.02)
    for _ in range(50):
        forecasts.record_censored(KEYS, 5.0)
    known = forecasts.forecast(KEYS)
    assert known.quantile(0.5) > 5.0
    assert known.remaining(1e9) > 0


def test_the_number_of_groups_is_bounded():
    forecasts = forecast.Forecasts(typical=1.0)
    for number in range(2 * forecast.MAX_GROUPS):
        forecasts.record(forecast.keys("s", "r", f"o{number}"), 1.0)
    assert len(forecasts._groups) <= forecast.MAX_GROUPS
    assert len(forecasts._known) <= forecast.MAX_GROUPS


def test_old_requests_count_less():
    forecasts = forecast.Forecasts(typical=1.0)
    for value in [1.0] * 1_000 + [100.0] * 1_500:
        forecasts.record(KEYS, value)
    assert forecasts.forecast(KEYS).quantile(0.1) > 50.0


#: Factor on the values seen, and whether the forecast still holds.
CHANGES = {"as learned": (1.0, True), "four times longer": (4.0, False)}


@pytest.mark.parametrize(
    ("factor", "holds"), CHANGES.values(), ids=CHANGES.keys()
)
def test_calibration_shows_whether_a_forecast_holds(factor, holds):
    rng = random.Random(6)
    forecasts = forecast.Forecasts(typical=1.0)
    for _ in range(1_000):
        forecasts.record(KEYS, draw(rng))
    seen = calibration.Calibration()
    for _ in range(500):
        seen.record(forecasts.forecast(KEYS), factor * draw(rng))
    assert (seen.error() < 0.1) is holds
    assert (0.7 < seen.bias() < 1.4) is holds
