import asyncio
import contextlib
import itertools
import random

import pytest

from toucanrudder import relay
from toucanrudder.document import model
from toucanrudder.errors import codes
from toucanrudder.http1 import answer_room
from toucanrudder.relay import attempt as attempts
from toucanrudder.relay import sinks
from toucanrudder.upstreams import engine
from toucanrudder.upstreams import failures

Kind = failures.Kind
NOT_RUN, UNKNOWN = codes.Ran.NOT_RUN, codes.Ran.UNKNOWN
UPSTREAM = model.Upstream("e", model.ENGINE, "127.0.0.1:1", "z", "p")


class FailingClient:
    """Client whose calls fail in turn with the given failures."""

    def __init__(self, *planned_failures):
        self.planned_failures = list(planned_failures)

    @contextlib.asynccontextmanager
    async def start(self, upstream, call, fresh=False):
        raise self._failure("start")
        yield

    @contextlib.asynccontextmanager
    async def resume(self, upstream, engine_id, after):
        raise self._failure("resume")
        yield

    def _failure(self, method):
        expected, kind = self.planned_failures.pop(0)
        assert method == expected
        return failures.UpstreamFailure(kind, UPSTREAM.name, "reset")


def make_attempt(client, **options):
    deadline_s = asyncio.get_running_loop().time() + 10
    return attempts.Attempt(
        client=client,
        upstream=UPSTREAM,
        call=engine.EngineCall("r1", "/v1/completions", {}, 1, ""),
        sequencer=relay.Sequencer(b"r1"),
        sink=sinks.WholeSink(),
        limits=attempts.Limits(1.0, 0.01, deadline_s),
        incarnation="",
        rng=random.Random(1),
        on_first_event=lambda: None,
        **options,
    )


SENT = ("start", Kind.SILENT)
LOST_AT_ENGINE = ("resume", Kind.LOST)
FAILED = [
    # Failure of each call, and the expected `ran` of the final failure.
    ([("start", Kind.REFUSED)], NOT_RUN),
    ([("start", Kind.NOT_REACHED)], NOT_RUN),
    ([SENT, ("resume", Kind.REFUSED)], UNKNOWN),
    ([SENT, ("resume", Kind.NOT_REACHED)], UNKNOWN),
    ([SENT, LOST_AT_ENGINE, ("start", Kind.REFUSED)], UNKNOWN),
    ([SENT, LOST_AT_ENGINE, ("start", Kind.NOT_REACHED)], UNKNOWN),
]


@pytest.mark.parametrize(("planned_failures", "ran"), FAILED)
async def test_refused_resend_leaves_the_outcome_unknown(
    planned_failures, ran
):
    """A refused resend does not prove that the first request did not run."""
    client = FailingClient(*planned_failures)
    with pytest.raises(failures.UpstreamFailure) as caught:
        await make_attempt(client).run()
    assert (caught.value.ran, client.planned_failures) == (ran, [])


class Trickle:
    """Content that arrives in pieces, one each 20 ms."""

    def __init__(self, pieces):
        self.pieces = iter(pieces)

    def read_nowait(self):
        return b""

    async def readany(self):
        await asyncio.sleep(0.02)
        return next(self.pieces, b"")


class EndlessClient:
    """Client of an engine whose first connections never end an event."""

    def __init__(self, endless, connections):
        self.endless, self.connections = endless, connections
        self.opened = 0

    @contextlib.asynccontextmanager
    async def start(self, upstream, call, fresh=False):
        yield self._response(b"id: 1\ndata: r1\n\n")

    @contextlib.asynccontextmanager
    async def resume(self, upstream, engine_id, after):
        yield self._response(b"")

    def _response(self, first):
        self.opened += 1
        pieces = [b"id: 2\ndata: r1\n\nid: 3\ndata: [DONE]\n\n"]
        if self.opened <= self.connections:
            pieces = itertools.chain([first], itertools.repeat(self.endless))
        return engine.EngineResponse("i", "w", Trickle(pieces))


@pytest.mark.parametrize("endless", [b"x", b": still here\n\n"])
async def test_an_event_that_never_ends_is_silence(endless):
    attempt = make_attempt(EndlessClient(endless, connections=1))
    async with asyncio.timeout(2 * attempts.MIN_SILENT_S):
        await attempt.run()
    assert attempt.client.opened == 2


async def test_events_without_end_of_all_streams_share_one_bound():
    """Guards against many events of which each stays below its bound."""
    room = answer_room.AnswerRoom(1_000_000, 200_000)

    def attempt():
        client = EndlessClient(b"x" * 60_000, connections=99)
        return make_attempt(client, partial_events=room)

    async with asyncio.timeout(5):
        ended = await asyncio.gather(
            *(attempt().run() for _ in range(8)), return_exceptions=True
        )
    assert all(isinstance(each, failures.UpstreamFailure) for each in ended)
    assert room.held_bytes == 0
