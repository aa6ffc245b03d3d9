"""One try of a request at one engine, across reconnections."""

import asyncio
from collections.abc import Callable
import contextlib
import enum
import http
import random

import aiohttp
import attrs

from toucanrudder import stalls
from toucanrudder.document import model
from toucanrudder.http1 import answer_room
from toucanrudder.http1 import json_text
from toucanrudder.relay import sequencer
from toucanrudder.relay import sinks
from toucanrudder.upstreams import engine
from toucanrudder.upstreams import failures

#: Failures after which the engine may still hold the stream.
_RESUMABLE = frozenset({failures.Kind.SILENT, failures.Kind.CROSSED})

#: An engine's status for a request ID that it already knows.
_ID_IN_USE = http.HTTPStatus.CONFLICT

#: Consecutive reconnections allowed without a new event.
MAX_RECONNECTS_WITHOUT_EVENT = 5

#: Base of the exponential backoff between reconnections without progress.
RECONNECT_BACKOFF_S = 0.05

#: A stream is silent if nothing arrives for the time of this many tokens.
SILENT_TOKENS = 50

#: A shorter limit would mistake ordinary pauses of an engine for silence.
MIN_SILENT_S = 1.0


class _Way(enum.Enum):
    """How the next connection requests the answer."""

    START = "start"
    START_ANEW = "start_anew"
    RESUME = "resume"


class _ConnectionLost(Exception):
    """The connection broke, stalled or delivered an invalid event."""


@attrs.frozen
class Limits:
    """Time limits of an attempt.

    Parameters
    ----------
    silent_event_s : float
        Silence after which the router reconnects, in seconds.
    decode_s_per_token : float
        The engine's decode time per token, as it reports it.
    first_token_by_s : float
        Deadline of the first event, on the clock `stalls.running_s`.
    """

    silent_event_s: float
    decode_s_per_token: float
    first_token_by_s: float

    def silence_s(self, has_events: bool) -> float:
        """Return the longest allowed silence, in seconds.

        Before the first event the engine may be computing a long prompt,
        so only the general limit applies.  After it, the limit follows the
        engine's decode speed, to detect a lost connection within the time
        of `SILENT_TOKENS` tokens.
        """
        if not has_events:
            return self.silent_event_s
        paced_s = SILENT_TOKENS * self.decode_s_per_token
        return min(self.silent_event_s, max(MIN_SILENT_S, paced_s))


@attrs.define
class Attempt:
    """One try of a request at one engine.

    Parameters
    ----------
    client : engine.EngineClient
        Client for the engine.
    upstream : model.Upstream
        The engine.
    call : engine.EngineCall
        The call to send.
    sequencer : sequencer.Sequencer
        Tracks the event order across all tries of the request.
    sink : sinks.Sink
        Receives new events.
    limits : Limits
        Time limits.
    incarnation : str
        Incarnation that the placement decision assumed, or empty.
    rng : random.Random
        Source of backoff jitter.
    on_first_event : callable
        Called without arguments when the first event arrives.
    partial_events : answer_room.AnswerRoom
        Room for the unfinished events of all attempts.
    """

    client: engine.EngineClient
    upstream: model.Upstream
    call: engine.EngineCall
    sequencer: sequencer.Sequencer
    sink: sinks.Sink
    limits: Limits
    incarnation: str
    rng: random.Random
    on_first_event: Callable[[], None]
    partial_events: answer_room.AnswerRoom = attrs.field(
        factory=lambda: answer_room.AnswerRoom(
            engine.MAX_PARTIAL_EVENTS_BYTES, engine.MAX_PARTIAL_EVENTS_BYTES
        )
    )
    answered_by: str = ""
    may_hold_stream: bool = False
    _reconnects_without_event: int = 0
    _has_events: bool = False
    _is_resent: bool = False
    _is_resume_dropped: bool = False
    _deadline: stalls.Timer | None = None

    async def run(self) -> None:
        """Relay the answer to its end.

        Raises
        ------
        UpstreamFailure
            The engine cannot complete the answer; see its `kind`.
        CallerGone
            The caller disconnected or does not read.
        """
        try:
            async with stalls.timeout(
                self.limits.first_token_by_s - stalls.running_s()
            ) as self._deadline:
                await self._connect_until_done()
        except TimeoutError as error:
            raise failures.UpstreamFailure(
                failures.Kind.SILENT,
                self.upstream.name,
                "no first token in time",
            ) from error

    async def resume(self) -> None:
        """Relay the rest of a stream that was started earlier."""
        self.may_hold_stream = True
        await self._connect_until_done(_Way.RESUME)

    async def _connect_until_done(self, way: _Way = _Way.START) -> None:
        while True:
            try:
                async with self._open(way) as answer:
                    self.may_hold_stream = True
                    self._is_resume_dropped = False
                    self.answered_by = answer.incarnation
                    await self._relay_events(answer.content)
                return
            except _ConnectionLost as error:
                reason = str(error)
                way = _Way.RESUME
            except failures.UpstreamFailure as failure:
                reason = failure.message
                way = self._next_way(failure, way)
            await self._before_reconnecting(reason)

    def _open(self, way: _Way):
        if way is _Way.RESUME:
            return self.client.resume(
                self.upstream, self.call.engine_id, self.sequencer.last
            )
        return self.client.start(
            self.upstream, self.call, fresh=way is _Way.START_ANEW
        )

    def _next_way(self, failure: failures.UpstreamFailure, way: _Way) -> _Way:
        if failure.kind in _RESUMABLE:
            # The request was sent, so the engine may be processing it.
            self.may_hold_stream = True
            self._is_resume_dropped = (
                way is _Way.RESUME
                and failure.kind is failures.Kind.SILENT
                and failure.message != failures.NO_PROGRESS_IN_TIME
            )
            return _Way.RESUME
        if way is _Way.RESUME and self._is_request_lost(failure):
            # The request was lost on a stale pooled connection.  The engine
            # is healthy, and a retry elsewhere might hit another stale
            # connection: a network fault that breaks all of them at once
            # would use up the retries of all callers.
            self._is_resent = True
            return _Way.START_ANEW
        if way is _Way.START_ANEW and failure.status == _ID_IN_USE:
            # The first request was delayed, not lost, and has arrived.
            return _Way.RESUME
        raise self._classify(failure, way is _Way.RESUME) from failure

    def _is_request_lost(self, failure: failures.UpstreamFailure) -> bool:
        return (
            failure.kind is failures.Kind.LOST
            and not self._is_restarted(failure)
            and not self._is_resent
            and self.sequencer.last == 0
            and bool(self.call.path)
        )

    def _is_restarted(self, failure: failures.UpstreamFailure) -> bool:
        expected_incarnation = self.answered_by or self.incarnation
        return bool(
            expected_incarnation
            and failure.incarnation
            and failure.incarnation != expected_incarnation
        )

    async def _relay_events(self, content: aiohttp.StreamReader) -> None:
        self.sequencer.reset_connection()
        with self.partial_events.reading() as partial:
            while not self.sequencer.done:
                events = await self._next_events(content, partial)
                if events:
                    self._record_progress()
                    await self.sink.write(events)
                self._check_sequence()

    async def _next_events(
        self, content: aiohttp.StreamReader, partial: answer_room.PartialAnswer
    ) -> bytes:
        """Return the next new events; none if the sequence is broken.

        Only complete new events end a silence: an engine in trouble may
        send bytes without end.
        """
        # A network device that dropped the connection's state yields
        # neither data nor an error.  Only a timeout detects this, and only
        # a new connection gets through.
        try:
            # Data that is already buffered is read without starting a timer.
            chunk = content.read_nowait()
            events = self._feed(chunk, partial) if chunk else b""
            if events:
                return events
            async with stalls.timeout(self.limits.silence_s(self._has_events)):
                while not events and not self.sequencer.is_broken:
                    events = await self._feed_next(content, partial)
                return events
        except TimeoutError as error:
            raise _ConnectionLost(failures.NO_PROGRESS_IN_TIME) from error
        except (aiohttp.ClientError, OSError) as error:
            raise _ConnectionLost(repr(error)) from error

    async def _feed_next(
        self, content: aiohttp.StreamReader, partial: answer_room.PartialAnswer
    ) -> bytes:
        chunk = await content.readany()
        if not chunk:
            # Closed before [DONE], so the answer is incomplete.
            raise _ConnectionLost("connection closed before [DONE]")
        return self._feed(chunk, partial)

    def _feed(self, chunk: bytes, partial: answer_room.PartialAnswer) -> bytes:
        events = self.sequencer.feed(chunk)
        try:
            partial.hold(self.sequencer.partial_bytes)
        except json_text.Unreadable as error:
            # Events that are complete count as relayed, so they go first.
            if not events:
                raise failures.UpstreamFailure(
                    failures.Kind.ERROR, self.upstream.name, str(error)
                ) from error
        return events

    def _check_sequence(self) -> None:
        try:
            self.sequencer.check()
        except (sequencer.SequenceGap, sequencer.ForeignEvent) as error:
            raise _ConnectionLost(repr(error)) from error
        except sequencer.EventTooLarge as error:
            raise failures.UpstreamFailure(
                failures.Kind.ERROR,
                self.upstream.name,
                "event exceeds the size limit",
            ) from error

    def _record_progress(self) -> None:
        self._reconnects_without_event = 0
        if not self._has_events:
            self._has_events = True
            if self._deadline is not None:
                self._deadline.cancel()
            self.on_first_event()

    async def _before_reconnecting(self, reason: str) -> None:
        # An engine that computes a long prompt is silent but accepts each
        # reconnection, and must not be abandoned: only the first-token
        # deadline applies.  All other reconnections are counted.
        if self._has_events or reason != failures.NO_PROGRESS_IN_TIME:
            self._reconnects_without_event += 1
        if self._reconnects_without_event > MAX_RECONNECTS_WITHOUT_EVENT:
            # Behind a load balancer, connections to a dead engine are not
            # refused: they open and break at once.  If this counted as a
            # network fault, the request that crashed the engine would not
            # become a suspect and would be retried on the next engine.
            kind = failures.Kind.SILENT
            if self._is_resume_dropped:
                kind = failures.Kind.BROKEN
            raise failures.UpstreamFailure(kind, self.upstream.name, reason)
        if self._reconnects_without_event > 1:
            pause_s = RECONNECT_BACKOFF_S * 2**self._reconnects_without_event
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))

    def _classify(
        self, failure: failures.UpstreamFailure, resuming: bool
    ) -> failures.UpstreamFailure:
        is_restarted = self._is_restarted(failure)
        is_gone = resuming and failure.connection_refused
        if (failure.kind is failures.Kind.LOST and is_restarted) or is_gone:
            return attrs.evolve(failure, kind=failures.Kind.CRASHED)
        if self.may_hold_stream and failure.kind in failures.PROVES_NOT_RUN:
            # The request was sent on an earlier connection.  The failure
            # of this one, or the engine's refusal to start again, does not
            # prove that it did not run.
            return attrs.evolve(failure, kind=failures.Kind.SILENT)
        return failure


@contextlib.asynccontextmanager
async def cancelled_if_unfinished(
    attempt: Attempt, spawn: Callable[[object], None]
):
    """Cancel the engine's work if the attempt ends with it unfinished.

    The work is not cancelled if a caller leaves during a stream.

    Parameters
    ----------
    attempt : Attempt
        The attempt to watch.
    spawn : callable
        Runs a coroutine in the background.
    """
    try:
        yield attempt
    except (sinks.CallerGone, asyncio.CancelledError):
        # Once a stream has started, the caller has its resume token and
        # may already be resuming at another router, so cancelling could
        # end a stream in use.  Without a reader, the engine ends the work
        # by itself after its resume window.
        if not attempt.sink.started:
            _cancel(attempt, spawn)
        raise
    except BaseException:
        _cancel(attempt, spawn)
        raise


def _cancel(attempt: Attempt, spawn: Callable[[object], None]) -> None:
    if attempt.may_hold_stream and not attempt.sequencer.done:
        spawn(attempt.client.cancel(attempt.upstream, attempt.call.engine_id))
