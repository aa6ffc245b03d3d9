import asyncio
import contextlib
import random

import pytest

from toucanrudder import relay
from toucanrudder.document import model
from toucanrudder.errors import codes
from toucanrudder.relay import attempt as attempts
from toucanrudder.relay import sinks
from toucanrudder.upstreams import engine
from toucanrudder.upstreams import failures

Kind = failures.Kind
NOT_RUN, UNKNOWN = codes.Ran.NOT_RUN, codes.Ran.UNKNOWN
UPSTREAM = model.Upstream("e", model.ENGINE, "127.0.0.1:1", "z", "p")


class FailingClient:
    """An engine at which each call fails in the way given for it."""

    def __init__(self, *fails):
        self.fails = list(fails)

    @contextlib.asynccontextmanager
    async def start(self, upstream, call, fresh=False):
        raise self._failure("start")
        yield

    @contextlib.asynccontextmanager
    async def resume(self, upstream, engine_id, after):
        raise self._failure("resume")
        yield

    def _failure(self, asked):
        expected, kind = self.fails.pop(0)
        assert asked == expected
        return failures.UpstreamFailure(kind, UPSTREAM.name, "reset")


SENT = ("start", Kind.SILENT)
UNKNOWN_THERE = ("resume", Kind.LOST)
FAILED = [
    # what each call comes to, what the failure says of the request
    ([("start", Kind.REFUSED)], NOT_RUN),
    ([("start", Kind.NOT_REACHED)], NOT_RUN),
    ([SENT, ("resume", Kind.REFUSED)], UNKNOWN),
    ([SENT, ("resume", Kind.NOT_REACHED)], UNKNOWN),
    ([SENT, UNKNOWN_THERE, ("start", Kind.REFUSED)], UNKNOWN),
    ([SENT, UNKNOWN_THERE, ("start", Kind.NOT_REACHED)], UNKNOWN),
]


@pytest.mark.parametrize(("fails", "ran"), FAILED)
async def test_a_refusal_speaks_of_its_own_sending_only(fails, ran):
    """The request is sent, its answer lost, and a later sending refused."""
    client = FailingClient(*fails)
    deadline_s = asyncio.get_running_loop().time() + 10
    attempt = attempts.Attempt(
        client=client,
        upstream=UPSTREAM,
        call=engine.EngineCall("r1", "/v1/completions", {}, 1, ""),
        order=relay.Sequencer(b"r1"),
        sink=sinks.WholeSink(),
        patience=attempts.Patience(1.0, 0.01, deadline_s),
        incarnation="",
        rng=random.Random(1),
        on_first=lambda: None,
    )
    with pytest.raises(failures.UpstreamFailure) as caught:
        await attempt.run()
    assert (caught.value.ran, client.fails) == (ran, [])
