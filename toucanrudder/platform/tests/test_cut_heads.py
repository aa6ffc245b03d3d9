"""Answers of upstreams that stop in the middle and close."""

import contextlib

import pytest

from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins
from toucanrudder.testing import answers
from toucanrudder.testing import resets

EVENTS = clusters.EVENTS
FIELDS = b"Request-Id: %b\r\nServer-Seal: s\r\nServer-Load: 1,0,8\r\n"


def value_of(head, name):
    """Return the value of a header field, or nothing."""
    return (head.lower().partition(name + b": ")[2].split() or [b""])[0]


class CutServer(standins.RawServer):
    """An upstream that stops at one byte of its answer and closes.

    Parameters
    ----------
    service, model : str
        What it serves.
    framing : callable
        Given header fields and a body, returns a whole answer.
    body : bytes
        Body of each answer.
    resets, is_kept : bool
        Whether it resets the connection, and whether it gives one whole
        answer on each connection before.
    """

    def __init__(self, service, model, framing, body, resets, is_kept):
        super().__init__(service, lambda server, request: b"")
        self.model = model
        self.body, self.resets, self.is_kept = body, resets, is_kept
        self.framing = framing
        self.cut_off = 0
        self.stopped = 0

    def whole_answer(self, request_id, body):
        """Return the answer that is broken off."""
        return self.framing(FIELDS % request_id, body)

    def rest(self, last_event_id):
        """Return the body, or what is left of it after an event."""
        if not last_event_id:
            return self.body
        events = map(standins.event, range(int(last_event_id) + 1, 4))
        return b"".join(events)

    async def _serve(self, reader, writer):
        whole = int(self.is_kept)
        with contextlib.suppress(ConnectionError, EOFError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/kv-events" in head or b"/report" in head:
                    break
                answer = self.whole_answer(
                    value_of(head, b"request-id"),
                    self.rest(value_of(head, b"last-event-id")),
                )
                if whole:
                    whole -= 1
                    writer.write(answer)
                    continue
                self.stopped += 1
                writer.write(answer[: max(0, len(answer) - self.cut_off)])
                await writer.drain()
                if self.resets:
                    resets.reset_on_close(writer.get_extra_info("socket"))
                break
        writer.close()


ENDS = {
    "closed": (False, False),
    "reset": (True, False),
    "closed on a kept connection": (False, True),
}
ROUTES = {
    "run once": (b"/w/", "desk", "", b"done" * 3),
    "repeatable": (b"/r/", "desk", "", b"done" * 3),
    "stream": (b"/once/", "engines", "m", EVENTS),
    "resumable stream": (b"/s/", "engines", "m", EVENTS),
}


async def check_all_cuts(router, server, path):
    """Let an upstream stop at each byte; check what callers get."""
    # Some bytes more than the shortest request ID leaves.
    for cut_off in range(1, len(server.whole_answer(b"", server.body)) + 9):
        server.cut_off, server.stopped = cut_off, 0
        for each in range(1 + server.is_kept):
            received = await clusters.send_request(
                router, b"%b%d/%d" % (path, cut_off, each)
            )
            if received.is_whole and received.status == 200:
                assert received.body == server.body, cut_off
                assert server.is_kept, cut_off
        assert server.stopped or server.is_kept, cut_off


@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES.keys())
@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS.keys())
@pytest.mark.parametrize(
    "framing", answers.FRAMINGS.values(), ids=answers.FRAMINGS.keys()
)
async def test_answer_that_stops_at_any_byte_is_not_passed_on_as_whole(
    cluster, framing, end, route
):
    path, service, model, body = route
    server = CutServer(service, model, framing, body, *end)
    await cluster.register(server)
    await check_all_cuts(await cluster.router(), server, path)


@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES.keys())
async def test_answer_that_stops_at_a_peer_is_not_passed_on_as_whole(
    cluster, route
):
    path, service, model, body = route
    server = CutServer(service, model, answers.with_length, body, False, False)
    await cluster.register(server)
    routers = await cluster.routers(2)
    with clusters.cut_off(routers[0], clusters.refuse):
        await check_all_cuts(routers[0], server, path)
