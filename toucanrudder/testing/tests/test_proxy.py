import asyncio

import aiohttp
import pytest

from toucanrudder.testing import processes
from toucanrudder.testing import proxy

BODY = {"model": "demo", "prompt": "p", "max_tokens": 3, "stream": True}
OPTIONS = {"decode_s_per_token": 0.001}

#: Time until a silent stream is given up, in which the engine must begin it.
TIMEOUT_S = 3.0


async def _stream(session, address):
    """Return the bytes that came, and whether the end was a broken one."""
    raw = b""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            url = f"http://{address}/v1/completions"
            async with session.post(url, json=BODY) as response:
                async for part in response.content.iter_any():
                    raw += part
    except (aiohttp.ClientError, TimeoutError) as error:
        return raw, type(error)
    return raw, None


@pytest.mark.parametrize("partial", [False, True])
@pytest.mark.parametrize("after", range(5))
@pytest.mark.parametrize(
    "action", [proxy.Action.CUT, proxy.Action.FREEZE, proxy.Action.DELAY]
)
async def test_rule_strikes_one_connection_at_its_event(
    action, after, partial
):
    async with (
        processes.standin("engine", **OPTIONS) as standin,
        proxy.proxied(standin.address) as proxied,
        aiohttp.ClientSession() as session,
    ):
        rule = proxied.add(
            proxy.Rule(action, b"POST /v1/", after, partial, delay_s=0.01)
        )
        raw, error = await _stream(session, proxied.address)
        assert rule.struck == 1
        if action is proxy.Action.DELAY:
            assert (raw.count(b"id: "), error) == (5, None)
        else:
            assert raw.count(b"id: ") == after + partial
            assert error is not None
        raw, error = await _stream(session, proxied.address)
        assert (raw.count(b"id: "), error) == (5, None)
