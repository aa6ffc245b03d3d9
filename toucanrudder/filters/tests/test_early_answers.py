"""Calls through a whole router to a service whose answers break off."""

import contextlib

import aiohttp
import pytest

from toucanrudder.testing import early_answers
from toucanrudder.testing import fleet as fleets
from toucanrudder.testing import servers

IDENTITY = b"x-request-id"

ROUTES = [
    {"method": "POST", "path_prefix": "/quotes", "repeatable": True},
    {"method": "POST", "path_prefix": "/bookings", "repeatable": False},
]


@contextlib.asynccontextmanager
async def routed_to(address):
    """Run a router before one service, at an address; yield the fleet."""
    plan = fleets.Plan(engines=0, services=1, routes=ROUTES)
    upstream = {
        "name": "service-0",
        "kind": "service",
        "address": address,
        "zone": "zone-a",
        "pool": "desk",
    }
    service = {
        "name": "desk",
        "routes": ROUTES,
        "max_body_bytes": len(early_answers.UPLOAD),
    }
    plan.document = {"upstreams": [upstream], "services": [service]}
    async with fleets.running(plan) as fleet:
        yield fleet


async def post(fleet, path, key=None):
    """Return status, body and whether the answer looks complete."""
    headers = fleets.authorization()
    if key is not None:
        headers["Idempotency-Key"] = key
    url = f"{fleet.routers[0].url}/services/desk{path}"
    body = b""
    async with fleet.session.post(
        url, data=early_answers.UPLOAD, headers=headers
    ) as response:
        try:
            async for piece in response.content.iter_any():
                body += piece
        except (aiohttp.ClientError, OSError):
            return response.status, body, False
        return response.status, body, True


@pytest.mark.parametrize("name", early_answers.ENDS)
async def test_caller_sees_that_an_answer_has_broken_off(name):
    """Guards against a part of an answer that callers take for all."""
    async with (
        early_answers.running(early_answers.ENDS[name], IDENTITY) as address,
        routed_to(address) as fleet,
    ):
        for _ in range(3):
            status, _, is_whole = await post(fleet, "/quotes")
            assert status >= 500 or not is_whole
        # A part that is kept for a key would be given to all later callers.
        for _ in range(3):
            status, body, _ = await post(fleet, "/bookings", "key-1")
            assert status >= 400
            assert early_answers.PART[:17] not in body


async def test_caller_gets_an_answer_that_ends_with_its_connection():
    async with (
        early_answers.running(early_answers.end_in_order, IDENTITY) as address,
        routed_to(address) as fleet,
    ):
        for path, key in (("/quotes", None), ("/bookings", "key-1")):
            for _ in range(2):
                answer = await post(fleet, path, key)
                assert answer == (200, early_answers.PART, True)


@pytest.mark.parametrize("status", early_answers.NO_STATUSES)
async def test_caller_gets_no_status_that_is_none(status):
    """Guards against statuses that callers cannot understand."""
    async with (
        early_answers.running(
            early_answers.end_in_order, IDENTITY, status=status + b" Odd"
        ) as address,
        routed_to(address) as fleet,
    ):
        assert (await post(fleet, "/quotes"))[0] in (502, 503, 504)
        assert (await post(fleet, "/bookings", "k"))[0] in (502, 503, 504)


@contextlib.asynccontextmanager
async def rejecting_engine(body, stated_bytes):
    """Run an engine that rejects requests; yield its address."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, EOFError):
            head = await reader.readuntil(b"\r\n\r\n")
            identity = early_answers.echo(head, IDENTITY + b":")
            writer.write(
                b"HTTP/1.1 400 Bad Request\r\n%sContent-Length: %d\r\n\r\n"
                % (identity, stated_bytes)
                + body
            )
        writer.close()

    async with servers.running(serve) as address:
        yield address


REASON = b'{"error":{"message":"max_tokens is too large"}}'


@pytest.mark.parametrize("sent_bytes", [len(REASON), 20])
async def test_caller_gets_the_whole_reason_of_a_rejection_or_none(sent_bytes):
    """Guards against a part of a reason that callers cannot parse."""
    async with rejecting_engine(REASON[:sent_bytes], len(REASON)) as address:
        plan = fleets.Plan(engines=1)
        plan.document = {
            "upstreams": [
                {
                    "name": "engine-0",
                    "kind": "engine",
                    "address": address,
                    "zone": "zone-a",
                    "pool": "llm",
                    "models": [fleets.MODEL],
                }
            ]
        }
        async with fleets.running(plan) as fleet:
            async with fleet.session.post(
                f"{fleet.routers[0].url}/v1/completions",
                json={"model": fleets.MODEL, "prompt": "p", "max_tokens": 2},
                headers=fleets.authorization(),
            ) as response:
                assert response.status == 400, await response.text()
                message = (await response.json())["error"]["message"]
    is_whole = message == "max_tokens is too large"
    assert is_whole == (sent_bytes == len(REASON))
