"""Answers that end with their connection, whole or cut."""

import contextlib

import pytest

from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins
from toucanrudder.testing import early_answers
from toucanrudder.testing import resets


class ClosingServer(standins.RawServer):
    """An upstream whose answers have no length and end by a close.

    Parameters
    ----------
    service, model : str
        What it serves.
    body : bytes
        Body of each answer.
    resets : bool
        Whether it resets the connection behind the body.
    """

    def __init__(self, service, model, body, resets):
        super().__init__(service, lambda server, request: b"")
        self.model = model
        self.body, self.resets = body, resets
        self.served = 0

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, EOFError):
            head = await reader.readuntil(b"\r\n\r\n")
            request_id = head.lower().partition(b"request-id: ")[2].split()[0]
            if b"/kv-events" in head or b"/report" in head:
                return
            self.served += 1
            writer.write(
                b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: "
                + request_id
                + b"\r\n\r\n"
                + self.body
            )
            await writer.drain()
            if self.resets:
                # The body is on its way before the connection is reset.
                resets.reset_on_close(writer.get_extra_info("socket"))
        writer.close()


WHOLE, CUT = clusters.EVENTS, clusters.EVENTS[:-9]

#: Path, service, body, whether it is reset, status, what the caller gets;
#: None for an answer that must not look complete.
ROWS = {
    "whole body": (b"/w/x", "desk", b"done", False, 200, b"done"),
    "body cut by a reset": (b"/w/x", "desk", b"done", True, 502, None),
    "whole stream": (b"/once/x", "engines", WHOLE, False, 200, WHOLE),
    "stream ended inside an event": (
        b"/once/x",
        "engines",
        CUT,
        False,
        200,
        None,
    ),
    "resumable stream ended inside an event": (
        b"/s/x",
        "engines",
        CUT,
        False,
        200,
        WHOLE,
    ),
    "resumable stream reset": (b"/s/x", "engines", CUT, True, 200, WHOLE),
}


async def start(cluster, service, body, resets):
    """Start an upstream that closes, and for engines one that resumes."""
    model = "m" if service == "engines" else ""
    server = ClosingServer(service, model, body, resets)
    return await cluster.register(server)


async def check(cluster, routers, row, upstream):
    """Ask the first of the routers; all of them know all upstreams."""
    path, service, _, _, status, expected = row
    if service == "engines" and expected is WHOLE:
        # The rest of a broken stream comes from another engine.
        await cluster.engine()
        await clusters.wait_until(
            lambda: all(
                len(each.state.registry.for_service(service)) == 2
                for each in routers
            )
        )
    method = b"POST" if path == b"/w/x" else b"GET"
    for _ in range(6):
        answer = await clusters.send_request(routers[0], path, method=method)
        assert answer.status == status or not answer.is_whole
        if expected is None:
            assert not (answer.is_whole and answer.status == 200)
        else:
            assert (answer.is_whole, answer.body) == (True, expected)
    assert upstream.served


@pytest.mark.parametrize("row", ROWS.values(), ids=ROWS.keys())
async def test_answer_without_length_is_whole_only_if_its_stream_ended(
    cluster, row
):
    _, service, body, resets, _, _ = row
    upstream = await start(cluster, service, body, resets)
    router = await cluster.router()
    await check(cluster, [router], row, upstream)


@pytest.mark.parametrize("row", ROWS.values(), ids=ROWS.keys())
async def test_peer_that_relays_makes_no_cut_answer_whole(cluster, row):
    _, service, body, resets, _, _ = row
    upstream = await start(cluster, service, body, resets)
    first, second = await cluster.routers(2)
    with clusters.cut_off(first, clusters.refuse):
        await check(cluster, [first, second], row, upstream)


class EarlyServer(standins.RawServer):
    """A service that answers an upload at once, and breaks off."""

    def __init__(self, address):
        super().__init__("desk", lambda server, request: b"")
        self._address = address

    @contextlib.asynccontextmanager
    async def running(self):
        yield self


async def upload(cluster, end, status=b"200 OK"):
    """Send uploads to a service that answers so; return the answers."""
    sealed = b"Server-Seal: s\r\n"
    async with early_answers.running(
        end, b"request-id", sealed, status
    ) as address:
        await cluster.register(EarlyServer(address))
        limits = {"max_body_bytes": len(early_answers.UPLOAD)}
        cluster.store.put(
            "config",
            "main",
            {**clusters.CONFIGURATION, "version": 4, "limits": limits},
        )
        router = await cluster.router()
        return [
            await clusters.send_request(
                router, path, method=b"POST", body=early_answers.UPLOAD
            )
            for path in (b"/w/x", b"/r/x") * 3
        ]


@pytest.mark.parametrize("name", early_answers.ENDS)
async def test_early_answer_that_breaks_off_is_not_whole(cluster, name):
    """Guards against a part of an answer that callers take for all."""
    for answer in await upload(cluster, early_answers.ENDS[name]):
        assert answer.status == 502 or not answer.is_whole


@pytest.mark.parametrize("status", early_answers.NO_STATUSES)
async def test_status_that_is_none_is_not_passed_on(cluster, status):
    """Guards against statuses that callers cannot understand."""
    for answer in await upload(
        cluster, early_answers.end_in_order, status + b" Odd"
    ):
        assert answer.status == 502
