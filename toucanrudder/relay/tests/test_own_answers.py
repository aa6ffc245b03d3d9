import asyncio
import itertools
import json

import pytest
import pytest_asyncio

from toucanrudder.standins import output
from toucanrudder.testing import callers
from toucanrudder.testing import fleet as fleets

pytestmark = pytest.mark.asyncio(loop_scope="module")

FAULTS = ("stale_answers", "stale_refusals", "crossed_answers")
_numbers = itertools.count(1)


def _body():
    prompt = f"gripper {next(_numbers)}"
    return {"model": "demo", "prompt": prompt, "max_tokens": 3}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet():
    plan = fleets.Plan(engine_options={"decode_s_per_token": 0.001})
    async with fleets.running(plan) as fleet:
        yield fleet


@pytest.mark.parametrize("streamed", [True, False])
@pytest.mark.parametrize("fault", FAULTS)
async def test_caller_gets_its_own_answer(fleet, fault, streamed):
    """A reused connection first delivers a late or crossed answer to
    another request.  Its request ID differs, so the router closes that
    connection and requests the answer on a new one.  The engine runs each
    request once: a late refusal proves nothing about this request.
    """
    url = fleet.routers[0].url
    await callers.whole(fleet.session, url, _body())
    for _ in range(3):
        await fleet.put_faults("engine-0", **{fault: 2})
        body = _body()
        expected = output.expected_text("/v1/completions", body)
        if streamed:
            answer = await callers.stream(fleet.session, url, body)
            assert (answer.end, answer.text) == (callers.End.DONE, expected)
        else:
            status, answer = await callers.whole(fleet.session, url, body)
            assert (status, answer["choices"][0]["text"]) == (200, expected)
    prompts = [run["prompt_sha256"] for run in await fleet.runs()]
    assert len(prompts) == len(set(prompts))


async def _read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    body = await reader.readexactly(int(headers["content-length"]))
    return int(status.split()[1]), headers, json.loads(body)


async def test_pipelined_callers_get_answers_in_order(fleet):
    """A caller writes six requests before it reads; some are invalid.
    The answers arrive in the order of the requests, each with its ID.
    """
    bodies = [_body() for _ in range(6)]
    bodies[2]["model"] = "no-such-model"
    bodies[4]["prompt"] = 7
    host, _, port = fleet.routers[0].address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for number, body in enumerate(bodies):
        raw = json.dumps(body).encode()
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\n"
            f"Authorization: Bearer {fleets.api_key('acme')}\r\n"
            f"Content-Type: application/json\r\nX-Request-Id: p{number}\r\n"
            f"Content-Length: {len(raw)}\r\n\r\n"
        )
        writer.write(head.encode() + raw)
    answers = [await _read_answer(reader) for _ in bodies]
    writer.close()
    statuses = [status for status, _, _ in answers]
    assert statuses == [200, 200, 404, 200, 400, 200]
    for number, (status, headers, answer) in enumerate(answers):
        assert headers["x-request-id"] == f"p{number}"
        if status == 200:
            expected = output.expected_text("/v1/completions", bodies[number])
            assert answer["choices"][0]["text"] == expected
