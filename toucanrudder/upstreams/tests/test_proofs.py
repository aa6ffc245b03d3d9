import contextlib

import aiohttp
from aiohttp import web
import multidict
import pytest

from toucanrudder.document import model
from toucanrudder.errors import codes
from toucanrudder.upstreams import engine
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import service

OURS = "r1"
ANYWHERE = "/{path:.*}"
NOT_RUN, UNKNOWN = codes.Ran.NOT_RUN, codes.Ran.UNKNOWN


@contextlib.asynccontextmanager
async def serving(*answers):
    """Yield a server that gives these answers, and what it was asked."""
    asked, left = [], list(answers)

    async def handle(request):
        asked.append(request.path)
        status, fields = left.pop(0)
        return web.Response(status=status, headers=fields)

    app = web.Application()
    app.router.add_route("*", ANYWHERE, handle)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    address = "{}:{}".format(*runner.addresses[0][:2])
    try:
        yield model.Upstream("u", model.ENGINE, address, "z", "p"), asked
    finally:
        await runner.cleanup()


async def call_service(session, upstream):
    headers = multidict.CIMultiDict({"X-Request-Id": OURS})
    client = service.ServiceClient(session, 5.0)
    async with client.call(
        upstream, "POST", "/b", headers=headers, body=b"", timeout_s=5.0
    ):
        pass


async def call_engine(session, upstream):
    client = engine.EngineClient(session, session, 5.0, 5.0)
    call = engine.EngineCall(OURS, "/v1/completions", {}, 1, "")
    async with client.start(upstream, call):
        pass


REFUSALS = [
    # who asks, the identity in the refusal, what it proves
    (call_service, OURS, NOT_RUN),
    (call_service, None, NOT_RUN),
    (call_service, "another", UNKNOWN),
    (call_engine, OURS, NOT_RUN),
    (call_engine, None, UNKNOWN),
    (call_engine, "another", UNKNOWN),
]


@pytest.mark.parametrize(("ask", "identity", "ran"), REFUSALS)
async def test_a_refusal_of_another_request_proves_nothing(ask, identity, ran):
    fields = {"X-Not-Run": "1"}
    if identity is not None:
        fields["X-Request-Id"] = identity
    async with (
        aiohttp.ClientSession() as session,
        serving((503, fields)) as (upstream, _),
    ):
        with pytest.raises(failures.UpstreamFailure) as caught:
            await ask(session, upstream)
    assert caught.value.ran is ran


@pytest.mark.parametrize("is_there", [True, False])
async def test_an_engine_cannot_send_a_request_elsewhere(is_there):
    """The library would follow, and tell of the other place's failure."""
    own = {"X-Request-Id": OURS}
    async with (
        aiohttp.ClientSession() as session,
        serving((503, own | {"X-Not-Run": "1"})) as (other, asked),
    ):
        address = other.address if is_there else "127.0.0.1:1"
        fields = own | {"Location": f"http://{address}/v1/completions"}
        async with serving((307, fields)) as (upstream, _):
            with pytest.raises(failures.UpstreamFailure) as caught:
                await call_engine(session, upstream)
    assert (caught.value.ran, asked) == (UNKNOWN, [])
