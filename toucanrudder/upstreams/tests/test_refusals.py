import asyncio
import contextlib

import aiohttp
from aiohttp import web
import pytest

from toucanrudder.document import model
from toucanrudder.errors import codes
from toucanrudder.upstreams import failures
from toucanrudder.upstreams.tests import client_calls

ANY_PATH = "/{path:.*}"
NOT_RUN, UNKNOWN = codes.Ran.NOT_RUN, codes.Ran.UNKNOWN


@contextlib.asynccontextmanager
async def serving(*responses):
    """Yield a server that sends these responses, and its requested paths."""
    paths, remaining = [], list(responses)

    async def handle(request):
        paths.append(request.path)
        status, headers = remaining.pop(0)
        return web.Response(status=status, headers=headers)

    app = web.Application()
    app.router.add_route("*", ANY_PATH, handle)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    address = "{}:{}".format(*runner.addresses[0][:2])
    try:
        yield model.Upstream("u", model.ENGINE, address, "z", "p"), paths
    finally:
        await runner.cleanup()


REFUSALS = [
    # send, identity in the refusal, what the refusal proves
    (client_calls.call_service, client_calls.REQUEST_ID, NOT_RUN),
    (client_calls.call_service, None, NOT_RUN),
    (client_calls.call_service, "another", UNKNOWN),
    (client_calls.call_engine, client_calls.REQUEST_ID, NOT_RUN),
    (client_calls.call_engine, None, UNKNOWN),
    (client_calls.call_engine, "another", UNKNOWN),
]


@pytest.mark.parametrize(("send", "identity", "ran"), REFUSALS)
async def test_a_refusal_of_another_request_proves_nothing(
    send, identity, ran
):
    headers = {"X-Not-Run": "1"}
    if identity is not None:
        headers["X-Request-Id"] = identity
    async with (
        aiohttp.ClientSession() as session,
        serving((503, headers)) as (upstream, _),
    ):
        with pytest.raises(failures.UpstreamFailure) as caught:
            await send(session, upstream)
    assert caught.value.ran is ran


@pytest.mark.parametrize("is_listening", [True, False])
async def test_an_engine_cannot_redirect_a_request(is_listening):
    """A redirect is not followed: its target's refusal would be taken as proof
    that the engine did not run the request.
    """
    own = {"X-Request-Id": client_calls.REQUEST_ID}
    async with (
        aiohttp.ClientSession() as session,
        serving((503, own | {"X-Not-Run": "1"})) as (other, paths),
    ):
        address = other.address if is_listening else "127.0.0.1:1"
        headers = own | {"Location": f"http://{address}/v1/completions"}
        async with serving((307, headers)) as (upstream, _):
            with pytest.raises(failures.UpstreamFailure) as caught:
                await client_calls.call_engine(session, upstream)
    assert (caught.value.ran, paths) == (UNKNOWN, [])


RESTS = [("2.5", 2.5), ("0", 0.0), ("-1", 0.0), ("inf", 0.0), ("soon", 0.0)]


@pytest.mark.parametrize(
    "send", [client_calls.call_service, client_calls.call_engine]
)
@pytest.mark.parametrize(("text", "rest_s"), RESTS)
async def test_the_rest_that_a_refusal_asks_for_is_read(send, text, rest_s):
    headers = {
        "X-Not-Run": "1",
        "X-Request-Id": client_calls.REQUEST_ID,
        "Retry-After": text,
    }
    async with (
        aiohttp.ClientSession() as session,
        serving((503, headers)) as (upstream, _),
    ):
        with pytest.raises(failures.UpstreamFailure) as caught:
            await send(session, upstream)
    assert caught.value.rest_s == rest_s


@contextlib.asynccontextmanager
async def refusing_without_end(content):
    """Yield an upstream whose refusals have a body without end."""

    async def handle(request):
        headers = {"X-Not-Run": "1", "X-Request-Id": client_calls.REQUEST_ID}
        response = web.StreamResponse(status=503, headers=headers)
        await response.prepare(request)
        while True:
            await response.write(content)
            await asyncio.sleep(0.02)

    app = web.Application()
    app.router.add_route("*", ANY_PATH, handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    address = "{}:{}".format(*runner.addresses[0][:2])
    try:
        yield model.Upstream("u", model.ENGINE, address, "z", "p")
    finally:
        await runner.cleanup()


@pytest.mark.parametrize("content", [b"x", b""])
@pytest.mark.parametrize(
    "send", [client_calls.call_service, client_calls.call_engine]
)
async def test_a_refusal_counts_though_its_body_never_ends(send, content):
    async with (
        aiohttp.ClientSession() as session,
        refusing_without_end(content) as upstream,
        asyncio.timeout(1.0),
    ):
        with pytest.raises(failures.UpstreamFailure) as caught:
            await send(session, upstream)
    assert caught.value.ran is NOT_RUN
