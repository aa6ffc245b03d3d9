"""Attempts of one request that run beside each other."""

import asyncio
from typing import Protocol

import attrs

from toucanrudder.forwarding.attempts import retry_policy


class Attempt(Protocol):
    """An attempt of a request.

    Attributes
    ----------
    target : str
        Where it is made.
    software_version : str or None
        Software of the upstream that answers; None if it is not known.
    evidence : retry_policy.Evidence
        What is known of it.
    is_sent : bool
        Whether the request may have been sent.
    is_silent : bool
        Whether its answer has made no progress for too long.
    """

    target: str
    software_version: str | None
    evidence: retry_policy.Evidence
    is_sent: bool
    is_silent: bool

    async def run(self) -> None:
        """Relay a complete answer to the caller, or raise an error."""


@attrs.frozen
class Silent:
    """The answer of an attempt makes no progress."""

    attempt: Attempt


@attrs.frozen
class Ended:
    """An attempt has ended; `error` is None if its answer is complete."""

    attempt: Attempt
    error: BaseException | None


class Race:
    """The attempts of one request that have not ended.

    Any number of them may wait for an answer.  The first that has something
    for the caller wins: the others are abandoned before it is relayed.
    """

    def __init__(self):
        self._tasks: dict[Attempt, asyncio.Task] = {}
        self._abandoned: set[asyncio.Task] = set()
        self._news: asyncio.Queue[Silent | Ended] = asyncio.Queue()

    @property
    def running(self) -> tuple[Attempt, ...]:
        """The attempts whose end is not known, in the order of their start."""
        return tuple(self._tasks)

    @property
    def is_silent(self) -> bool:
        """Whether none of the running attempts makes progress."""
        return all(attempt.is_silent for attempt in self._tasks)

    def start(self, attempt: Attempt) -> None:
        """Run an attempt beside the others."""
        task = asyncio.ensure_future(attempt.run())
        self._tasks[attempt] = task
        task.add_done_callback(lambda task: self._record_end(attempt, task))

    def _record_end(self, attempt: Attempt, task: asyncio.Task) -> None:
        error: BaseException | None = asyncio.CancelledError()
        if not task.cancelled():
            error = task.exception()
        self._news.put_nowait(Ended(attempt, error))

    def report_silence(self, attempt: Attempt) -> None:
        """Report that the answer of an attempt makes no progress."""
        self._news.put_nowait(Silent(attempt))

    async def next_news(self) -> Silent | Ended:
        """Wait until an attempt ends or is silent."""
        while True:
            news = await self._news.get()
            if news.attempt in self._tasks:
                break
        if isinstance(news, Ended):
            del self._tasks[news.attempt]
        return news

    def win(self, winner: Attempt) -> tuple[Attempt, ...]:
        """Abandon all other attempts and return them."""
        losers = tuple(each for each in self._tasks if each is not winner)
        for loser in losers:
            self._abandon(loser)
        return losers

    def _abandon(self, attempt: Attempt) -> None:
        task = self._tasks.pop(attempt)
        task.cancel()
        self._abandoned.add(task)
        task.add_done_callback(self._abandoned.discard)

    async def close(self) -> None:
        """Abandon all attempts and wait until they have stopped."""
        self.win(None)
        if self._abandoned:
            await asyncio.wait(self._abandoned)
