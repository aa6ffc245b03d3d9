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
    deadline_s = asyncio.get_running_loop().time() + 10
    attempt = attempts.Attempt(
        client=client,
        upstream=UPSTREAM,
        call=engine.EngineCall("r1", "/v1/completions", {}, 1, ""),
        sequencer=relay.Sequencer(b"r1"),
        sink=sinks.WholeSink(),
        limits=attempts.Limits(1.0, 0.01, deadline_s),
        incarnation="",
        rng=random.Random(1),
        on_first_event=lambda: None,
    )
    with pytest.raises(failures.UpstreamFailure) as caught:
        await attempt.run()
    assert (caught.value.ran, client.planned_failures) == (ran, [])
