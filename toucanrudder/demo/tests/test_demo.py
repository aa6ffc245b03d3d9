import asyncio
import sys

import aiohttp

from toucanrudder.testing import processes

WITHIN_S = 120


async def test_the_demo_ends_well():
    """What a newcomer runs first: it exits 0 only if each answer was whole
    and its own caller's, and the booking sent twice ran once.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "toucanrudder",
        "demo",
        cwd=processes.ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(WITHIN_S):
        printed, _ = await process.communicate()
    assert process.returncode == 0, printed.decode()
    assert "prefix hit rate" in printed.decode()


async def test_the_demo_serves_until_it_is_stopped():
    async with (
        processes.started("demo", "--serve") as demo,
        aiohttp.ClientSession() as session,
    ):
        key = demo.ready["api_keys"]["north"]
        for url in demo.ready["base_urls"]:
            async with session.post(
                f"{url}/v1/completions",
                json={"model": demo.ready["models"][0], "prompt": "hello"},
                headers={"Authorization": f"Bearer {key}"},
            ) as response:
                assert response.status == 200
        assert await demo.stop() == 0
