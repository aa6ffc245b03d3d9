"""Attempts that run beside each other."""

import asyncio

import attrs
import pytest

from toucanrudder.forwarding.attempts import racing
from toucanrudder.forwarding.attempts import relaying
from toucanrudder.forwarding.attempts import retry_policy

FAILED = relaying.AttemptFailed(retry_policy.FailureKind.BROKEN)


@attrs.define(eq=False)
class Attempt:
    """An attempt that ends as its test says."""

    race: racing.Race
    target: str = "i1"
    is_sent = True
    is_silent: bool = False
    end: asyncio.Future = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )
    was_cancelled: bool = False

    async def run(self):
        try:
            await self.end
        except asyncio.CancelledError:
            self.was_cancelled = True
            raise


@pytest.fixture
async def race():
    started = racing.Race()
    yield started
    await started.close()


def start(race, count):
    """Start attempts and return them."""
    attempts = [Attempt(race) for _ in range(count)]
    for attempt in attempts:
        race.start(attempt)
    return attempts


@pytest.mark.parametrize("error", [None, FAILED])
async def test_end_of_an_attempt_is_news(race, error):
    first, second = start(race, 2)
    if error is None:
        first.end.set_result(None)
    else:
        first.end.set_exception(error)
    assert await race.next_news() == racing.Ended(first, error)
    assert race.running == (second,)


async def test_winner_stops_the_others(race):
    first, second, third = start(race, 3)
    await asyncio.sleep(0)
    assert race.win(second) == (first, third)
    assert race.running == (second,)
    await asyncio.sleep(0)
    assert first.was_cancelled and third.was_cancelled
    assert not second.was_cancelled


async def test_failure_of_a_loser_is_no_news(race):
    first, second = start(race, 2)
    first.end.set_exception(FAILED)
    await asyncio.sleep(0)
    race.win(second)
    second.end.set_result(None)
    assert await race.next_news() == racing.Ended(second, None)


async def test_attempt_counts_as_running_until_its_end_is_handled(race):
    (first,) = start(race, 1)
    first.end.set_result(None)
    await asyncio.sleep(0.01)
    assert race.running == (first,)


async def test_cancelled_attempt_does_not_look_complete(race):
    (first,) = start(race, 1)
    first.end.cancel()
    news = await race.next_news()
    assert isinstance(news.error, asyncio.CancelledError)


async def test_race_is_silent_only_if_all_attempts_are(race):
    first, second = start(race, 2)
    first.is_silent = True
    assert not race.is_silent
    second.is_silent = True
    assert race.is_silent


async def test_closed_race_has_stopped_all_attempts(race):
    attempts = start(race, 3)
    await asyncio.sleep(0)
    await race.close()
    assert all(attempt.was_cancelled for attempt in attempts)
    assert race.running == ()
