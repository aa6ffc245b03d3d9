import asyncio

import pytest

from toucanrudder.testing import fleet as fleets


@pytest.mark.parametrize(
    "path",
    ["/quotes/../bookings", "/quotes/%2e%2e/bookings", "/quotes%2F..%2Fb"],
)
async def test_path_with_dot_segments_is_refused(path):
    """A path with dot segments matches a repeatable route here, but the
    service would resolve it to a call that may not be repeated.  It is
    refused, and the service receives nothing.
    """
    plan = fleets.Plan(
        services=1,
        routes=[
            {"method": "POST", "path_prefix": "/quotes"} | {"repeatable": True}
        ],
    )
    async with fleets.running(plan) as fleet:
        host, _, port = fleet.routers[0].address.rpartition(":")
        # A client library would resolve the dots before sending.
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /services/desk{path} HTTP/1.1\r\nHost: r\r\n"
            f"Authorization: Bearer {fleets.api_key('acme')}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        async with asyncio.timeout(60):
            answer = await reader.read()
        writer.close()
        assert b" 400 " in answer.splitlines()[0], answer
        assert (await fleet.journal("service-0"))["runs"] == []
