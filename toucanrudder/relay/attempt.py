"""One engine's work on one request, over as many connections as it takes."""

import asyncio
from collections.abc import Callable
import contextlib
import enum
import http
import random

import aiohttp
import attrs

from toucanrudder.document import model
from toucanrudder.relay import sequencer
from toucanrudder.relay import sinks
from toucanrudder.upstreams import engine
from toucanrudder.upstreams import failures

#: Failures after which the engine may still hold the stream.
_RESUMABLE = frozenset({failures.Kind.SILENT, failures.Kind.CROSSED})

#: An engine's answer to a request identity that it knows already.
_USED_BEFORE = http.HTTPStatus.CONFLICT

#: Reconnections in a row that may give nothing.
MAX_FRUITLESS = 5

#: First pause before a second fruitless reconnection; doubles each time.
RECONNECT_PAUSE_S = 0.05

#: A stream is silent when nothing came for this many of its own tokens.
SILENT_TOKENS = 50

#: Below this, an ordinary pause of the engine would look like silence.
MIN_SILENT_S = 1.0


class _Way(enum.Enum):
    """How the next connection asks for the answer."""

    START = "start"
    START_ANEW = "start_anew"
    RESUME = "resume"


class _PathLost(Exception):
    """The connection broke, fell silent or lost an event."""


@attrs.frozen
class Patience:
    """How long the attempt waits.

    Parameters
    ----------
    silent_event_s : float
        Silence after which a stream is opened anew.
    decode_s_per_token : float
        The engine's own pace, as it reports it.
    first_token_by_s : float
        Time of the loop's clock by which the first event must have come.
    """

    silent_event_s: float
    decode_s_per_token: float
    first_token_by_s: float

    def silence_s(self, flowing: bool) -> float:
        """Return how long nothing may come.

        Before the first event the engine may be computing a long prompt,
        so only the general bound holds; a flowing stream is held to the
        engine's own pace, since a cut path shows within a few tokens.
        """
        if not flowing:
            return self.silent_event_s
        paced_s = SILENT_TOKENS * self.decode_s_per_token
        return min(self.silent_event_s, max(MIN_SILENT_S, paced_s))


@attrs.define
class Attempt:
    """A try at one engine.

    Parameters
    ----------
    client : engine.EngineClient
        Calls the engine.
    upstream : model.Upstream
        The engine.
    call : engine.EngineCall
        What it is asked.
    order : sequencer.Sequencer
        Order of the events, shared by all tries of the request.
    sink : sinks.Sink
        Where fresh events go.
    patience : Patience
        Deadlines.
    incarnation : str
        Incarnation that the decision relied on, or empty.
    rng : random.Random
        For pauses.
    on_first : callable
        Called without arguments when the first event has come.
    """

    client: engine.EngineClient
    upstream: model.Upstream
    call: engine.EngineCall
    order: sequencer.Sequencer
    sink: sinks.Sink
    patience: Patience
    incarnation: str
    rng: random.Random
    on_first: Callable[[], None]
    answered_by: str = ""
    may_hold: bool = False
    _fruitless: int = 0
    _flowing: bool = False
    _anew: bool = False
    _dropped: bool = False
    _deadline: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Relay the answer to its end.

        Raises
        ------
        UpstreamFailure
            The engine cannot give the rest; its kind says what is known.
        CallerGone
            Nobody takes the answer.
        """
        try:
            async with asyncio.timeout_at(
                self.patience.first_token_by_s
            ) as self._deadline:
                await self._connect_until_done()
        except TimeoutError as error:
            raise failures.UpstreamFailure(
                failures.Kind.SILENT,
                self.upstream.name,
                "no first token in time",
            ) from error

    async def resume(self) -> None:
        """Relay the rest of a stream that another router had started."""
        self.may_hold = True
        await self._connect_until_done(_Way.RESUME)

    async def _connect_until_done(self, way: _Way = _Way.START) -> None:
        while True:
            try:
                async with self._opening(way) as answer:
                    self.may_hold = True
                    self._dropped = False
                    self.answered_by = answer.incarnation
                    await self._pump(answer.content)
                return
            except _PathLost as error:
                reason = str(error)
                way = _Way.RESUME
            except failures.UpstreamFailure as failure:
                reason = failure.message
                way = self._after(failure, way)
            await self._before_reconnecting(reason)

    def _opening(self, way: _Way):
        if way is _Way.RESUME:
            return self.client.resume(
                self.upstream, self.call.engine_id, self.order.last
            )
        return self.client.start(
            self.upstream, self.call, fresh=way is _Way.START_ANEW
        )

    def _after(self, failure: failures.UpstreamFailure, way: _Way) -> _Way:
        if failure.kind in _RESUMABLE:
            # The request was sent, so the engine may be at work on it.
            self.may_hold = True
            self._dropped = (
                way is _Way.RESUME
                and failure.kind is failures.Kind.SILENT
                and failure.message != failures.NO_BYTES_IN_TIME
            )
            return _Way.RESUME
        if way is _Way.RESUME and self._never_arrived(failure):
            # It was written into a pooled connection that had lost its
            # path.  The engine is well, and a try elsewhere might meet
            # another such connection: a path that loses all of them at
            # once would use up the retries of all callers.
            self._anew = True
            return _Way.START_ANEW
        if way is _Way.START_ANEW and failure.status == _USED_BEFORE:
            # It was late, not lost, and has arrived meanwhile.
            return _Way.RESUME
        raise self._classified(failure, way is _Way.RESUME) from failure

    def _never_arrived(self, failure: failures.UpstreamFailure) -> bool:
        return (
            failure.kind is failures.Kind.LOST
            and not self._restarted(failure)
            and not self._anew
            and self.order.last == 0
            and bool(self.call.path)
        )

    def _restarted(self, failure: failures.UpstreamFailure) -> bool:
        known = self.answered_by or self.incarnation
        return bool(
            known and failure.incarnation and failure.incarnation != known
        )

    async def _pump(self, content: aiohttp.StreamReader) -> None:
        self.order.reconnected()
        while not self.order.done:
            chunk = await self._read(content)
            if not chunk:
                # Closed before [DONE]: never to be taken for the end.
                raise _PathLost("closed before the end")
            events = self.order.feed(chunk)
            if events:
                self._progress()
                await self.sink.write(events)
            self._check_order()

    async def _read(self, content: aiohttp.StreamReader) -> bytes:
        # A path that lost track of the connection gives neither data nor
        # an error, for good.  Only silence tells, and only a connection of
        # its own gets through.
        try:
            # What has arrived already is taken without the cost of a timer.
            chunk = content.read_nowait()
            if chunk:
                return chunk
            async with asyncio.timeout(self.patience.silence_s(self._flowing)):
                return await content.readany()
        except TimeoutError as error:
            raise _PathLost(failures.NO_BYTES_IN_TIME) from error
        except (aiohttp.ClientError, OSError) as error:
            raise _PathLost(repr(error)) from error

    def _check_order(self) -> None:
        try:
            self.order.check()
        except (sequencer.SequenceGap, sequencer.ForeignEvent) as error:
            raise _PathLost(repr(error)) from error
        except sequencer.EventTooLarge as error:
            raise failures.UpstreamFailure(
                failures.Kind.ERROR, self.upstream.name, "event too large"
            ) from error

    def _progress(self) -> None:
        self._fruitless = 0
        if not self._flowing:
            self._flowing = True
            if self._deadline is not None:
                self._deadline.reschedule(None)
            self.on_first()

    async def _before_reconnecting(self, reason: str) -> None:
        # An engine that is computing a long prompt is silent, answers each
        # reconnection, and must not be given up; the deadline of the first
        # token bounds that.  All else is bounded by the count.
        if self._flowing or reason != failures.NO_BYTES_IN_TIME:
            self._fruitless += 1
        if self._fruitless > MAX_FRUITLESS:
            # Behind a balancer a dead engine does not refuse connections:
            # they open and break at once.  Taken for a mere broken path,
            # its crash would blame nobody, and the request that caused it
            # would go on to the next engine.
            kind = failures.Kind.SILENT
            if self._dropped:
                kind = failures.Kind.BROKEN
            raise failures.UpstreamFailure(kind, self.upstream.name, reason)
        if self._fruitless > 1:
            pause_s = RECONNECT_PAUSE_S * 2**self._fruitless
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))

    def _classified(
        self, failure: failures.UpstreamFailure, resuming: bool
    ) -> failures.UpstreamFailure:
        restarted = self._restarted(failure)
        gone = resuming and failure.connection_refused
        if (failure.kind is failures.Kind.LOST and restarted) or gone:
            return attrs.evolve(failure, kind=failures.Kind.CRASHED)
        if self.may_hold and failure.kind in failures.PROVES_NOT_RUN:
            # The request went out on an earlier connection: that this one
            # failed, or that the engine refused to begin anew, proves
            # nothing about it.
            return attrs.evolve(failure, kind=failures.Kind.SILENT)
        return failure


@contextlib.asynccontextmanager
async def cancelled_if_unfinished(
    attempt: Attempt, spawn: Callable[[object], None]
):
    """Cancel the engine's work if the attempt ends before its answer does.

    Not so for a caller that left in the middle of a stream.

    Parameters
    ----------
    attempt : Attempt
        The try.
    spawn : callable
        Takes a coroutine and runs it in the background.
    """
    try:
        yield attempt
    except (sinks.CallerGone, asyncio.CancelledError):
        # A caller that has begun to read a stream has its token, and may
        # already be resuming at another router: a cancel from here would
        # take the stream from under it.  Without a reader the engine ends
        # the work by itself after its resume window.
        if not attempt.sink.started:
            _cancel(attempt, spawn)
        raise
    except BaseException:
        _cancel(attempt, spawn)
        raise


def _cancel(attempt: Attempt, spawn: Callable[[object], None]) -> None:
    if attempt.may_hold and not attempt.order.done:
        spawn(attempt.client.cancel(attempt.upstream, attempt.call.engine_id))
