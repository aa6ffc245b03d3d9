"""Calls of the clients of services and engines, read to their end."""

import multidict

from toucanrudder.document import model
from toucanrudder.testing import early_answers
from toucanrudder.upstreams import engine
from toucanrudder.upstreams import service

REQUEST_ID = "r1"


async def call_service(session, upstream):
    headers = multidict.CIMultiDict({"X-Request-Id": REQUEST_ID})
    client = service.ServiceClient(5.0)
    async with client.call(
        upstream, "POST", "/b", headers=headers, body=b"", timeout_s=5.0
    ) as response:
        return await response.read()


async def call_engine(session, upstream):
    client = engine.EngineClient(session, session, 5.0, 5.0)
    call = engine.EngineCall(REQUEST_ID, "/v1/completions", {}, 1, "")
    async with client.start(upstream, call) as response:
        return await response.content.read()


async def resume_engine(session, upstream):
    client = engine.EngineClient(session, session, 5.0, 5.0)
    async with client.resume(upstream, REQUEST_ID, 0) as response:
        return await response.content.read()


async def upload_to_service(address):
    """Send a large upload to a service; return the answer's body."""
    upstream = model.Upstream("u", model.SERVICE, address, "z", "p")
    headers = multidict.CIMultiDict({"X-Request-Id": REQUEST_ID})
    client = service.ServiceClient(5.0)
    async with client.call(
        upstream,
        "POST",
        "/b",
        headers=headers,
        body=early_answers.UPLOAD,
        timeout_s=5.0,
    ) as response:
        return await response.read()
