import asyncio
import json

import aiohttp
import pytest

from toucanrudder.standins import cache
from toucanrudder.standins import engine
from toucanrudder.standins import output

BODY = {"model": "demo", "prompt": "interlock", "max_tokens": 4}
CHAT = {
    "model": "demo",
    "max_tokens": 4,
    "messages": [{"role": "user", "content": "interlock"}],
}
QUICK = {"decode_s_per_token": 0.0, "prefill_tokens_per_s": 0.0}


async def _post(session, served, body, path="/v1/completions", **headers):
    headers = {name.replace("_", "-"): text for name, text in headers.items()}
    url = f"http://{served.address}{path}"
    async with session.post(url, json=body, headers=headers) as response:
        return response.status, await response.read(), response.headers


def _numbers(raw):
    return [
        int(line[4:])
        for line in raw.decode().splitlines()
        if line.startswith("id: ")
    ]


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.mark.parametrize(
    ("path", "body"), [("/v1/completions", BODY), (output.CHAT, CHAT)]
)
async def test_whole_answer_is_function_of_prompt(session, path, body):
    async with engine.opened(**QUICK) as served:
        _, raw, headers = await _post(
            session, served, body, path, X_Request_Id="r1"
        )
    answer = json.loads(raw)
    choice = answer["choices"][0]
    text = choice["text"] if "text" in choice else choice["message"]["content"]
    assert text == output.expected_text(path, body)
    assert headers["X-Request-Id"] == "r1"
    assert answer["id"].endswith("-r1")


@pytest.mark.parametrize("after", range(6))
async def test_stream_resumes_and_continues_after_each_event(session, after):
    body = BODY | {"stream": True}
    async with engine.opened(**QUICK) as served:
        _, raw, _ = await _post(session, served, body, X_Request_Id="r1")
        assert _numbers(raw) == [1, 2, 3, 4, 5, 6]
        url = f"http://{served.address}/v1/streams/r1?after={after}"
        async with session.get(url) as response:
            resumed = await response.read()
        assert raw.endswith(resumed)
        assert _numbers(resumed) == list(range(after + 1, 7))
        before = {"text": "x", "events": after}
        _, continued, _ = await _post(
            session, served, body | {"continue_from": before}
        )
        assert _numbers(continued) == _numbers(resumed)


async def test_cache_is_credited_within_salt_only(session):
    body = {"model": "demo", "prompt": "p" * 20000, "max_tokens": 1}
    cached = []
    async with engine.opened(**QUICK) as served:
        for salt in ("a" * 32, "a" * 32, "b" * 32):
            _, raw, _ = await _post(session, served, body, X_Cache_Salt=salt)
            usage = json.loads(raw)["usage"]
            cached.append(usage["prompt_tokens_details"]["cached_tokens"])
    assert cached == [0, 2 * cache.BLOCK_TOKENS, 0]


async def test_evicted_blocks_are_computed_again(session):
    async with engine.opened(capacity_blocks=2, **QUICK) as served:
        for letter in "aba":
            body = {"model": "demo", "prompt": letter * 16000, "max_tokens": 1}
            await _post(session, served, body)
        runs = list(served.journal.values())
    assert [run.recomputed_tokens for run in runs] == [0, 0, 4000]


async def test_urgent_runs_before_background(session):
    options = {"prefill_tokens_per_s": 0.0, "decode_s_per_token": 0.005}
    async with engine.opened(slots=1, **options) as served:
        calls = []
        for count, priority in enumerate("2220"):
            calls.append(
                asyncio.ensure_future(
                    _post(session, served, BODY, X_Priority=priority)
                )
            )
            while len(served.journal) <= count:
                await asyncio.sleep(0)
        await asyncio.gather(*calls)
        runs = sorted(served.journal.values(), key=lambda run: run.started_s)
    assert [run.priority for run in runs] == [2, 0, 2, 2]


async def test_unread_run_is_cancelled_after_the_resume_window(session):
    options = {"decode_s_per_token": 0.01, "resume_window_s": 0.05}
    async with engine.opened(**options) as served:
        body = BODY | {"stream": True, "max_tokens": 100000}
        url = f"http://{served.address}/v1/completions"
        async with session.post(url, json=body) as response:
            await response.content.readline()
            response.close()
        (run,) = served.journal.values()
        async with asyncio.timeout(30):
            while not run.ended:
                await run.changed.wait()
    assert run.state == "cancelled"


@pytest.mark.parametrize(
    ("checks", "statuses"), [(True, [200, 409]), (False, [200, 200])]
)
async def test_old_fencing_number(session, checks, statuses):
    got = []
    async with engine.opened(checks_fencing=checks) as served:
        for fencing in (2, 1):
            order = {
                "order_id": "o",
                "fencing": fencing,
                "kind": "set_role",
                "role": "prefill",
            }
            status, _, _ = await _post(session, served, order, "/orders")
            got.append(status)
    assert got == statuses


async def test_weights_are_loaded_and_cache_cleared(session):
    async with engine.opened(load_s=0.0, **QUICK) as served:
        await _post(session, served, BODY | {"prompt": "p" * 8000})
        served.batch.going.clear()
        before = asyncio.ensure_future(_post(session, served, BODY))
        while len(served.journal) < 2:
            await asyncio.sleep(0)
        order = {
            "order_id": "o",
            "fencing": 1,
            "kind": "load_weights",
            "model": "demo",
            "weights_version": "w2",
        }
        await _post(session, served, order, "/orders")
        status, _, headers = await _post(session, served, BODY)
        assert (status, headers.get("X-Not-Run")) == (503, "1")
        served.batch.going.set()
        assert (await before)[0] == 200
        async with asyncio.timeout(30):
            while served.orders.loading:
                await asyncio.sleep(0)
        _, _, headers = await _post(session, served, BODY)
        assert headers["X-Weights-Version"] == "w2"
        kinds = [json.loads(row[2])["kind"] for row in served.events.lines]
    assert kinds == ["stored", "cleared"]
