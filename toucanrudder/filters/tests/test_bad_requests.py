import json

import openai
import pytest

from toucanrudder.standins import output
from toucanrudder.testing import fleet as fleets

GOOD = {"model": "demo", "prompt": "cue sheet", "max_tokens": 3}
CHAT = {
    "model": "demo",
    "messages": [{"role": "user", "content": "cue sheet"}],
    "max_tokens": 3,
}
COMPLETIONS = "/v1/completions"
CHATS = "/v1/chat/completions"
SMALL_BODY_BYTES = 10_000

# Body, path, and the expected status and error code.
BODIES = [
    (b"{", COMPLETIONS, 400, "malformed_json"),
    (b"\xff\xfe", COMPLETIONS, 400, "malformed_json"),
    (b"[" * 100_00, COMPLETIONS, 400, "malformed_json"),
    (b"[]", COMPLETIONS, 400, "invalid_request"),
    (GOOD | {"model": 3}, COMPLETIONS, 400, "invalid_request"),
    (GOOD | {"prompt": {}}, COMPLETIONS, 400, "invalid_request"),
    (GOOD | {"stream": "yes"}, COMPLETIONS, 400, "invalid_request"),
    (GOOD | {"max_tokens": 0}, COMPLETIONS, 400, "invalid_request"),
    (GOOD | {"max_tokens": True}, COMPLETIONS, 400, "invalid_request"),
    (GOOD | {"n": -1}, COMPLETIONS, 400, "invalid_request"),
    (GOOD | {"continue_from": {}}, COMPLETIONS, 400, "invalid_request"),
    (CHAT | {"messages": []}, CHATS, 400, "invalid_request"),
    (CHAT | {"messages": ["hi"]}, CHATS, 400, "invalid_request"),
    (GOOD | {"model": "other"}, COMPLETIONS, 404, "unknown_model"),
    (
        GOOD | {"prompt": "x" * SMALL_BODY_BYTES},
        COMPLETIONS,
        413,
        "body_too_large",
    ),
]

AUTHORIZED = list(fleets.authorization().items())

# Request headers, and the expected status and error code.
HEADERS = [
    ([], 401, "unauthorized"),
    ([("Authorization", "Bearer nobody")], 401, "unauthorized"),
    ([("Authorization", "Basic a2V5")], 401, "unauthorized"),
    (AUTHORIZED * 2, 400, "bad_header"),
    ([*AUTHORIZED, ("X-Priority", "now")], 400, "bad_header"),
    (
        [*AUTHORIZED, ("X-Priority", "urgent")] * 1
        + [("X-Priority", "normal")],
        400,
        "bad_header",
    ),
    ([*AUTHORIZED, ("X-Request-Id", "x" * 129)], 400, "bad_header"),
    ([*AUTHORIZED, ("X-Request-Id", "a\tb")], 400, "bad_header"),
    ([*AUTHORIZED, ("X-Deadline-S", "soon")], 400, "bad_header"),
    ([*AUTHORIZED, ("X-Deadline-S", "nan")], 400, "bad_header"),
    ([*AUTHORIZED, ("X-Deadline-S", "-1")], 400, "bad_header"),
]


def _plan():
    return fleets.Plan(
        document={"policy": {"max_body_bytes": SMALL_BODY_BYTES}}
    )


async def _refusal(fleet, path, data, headers):
    async with fleet.session.post(
        fleet.routers[0].url + path, data=data, headers=headers
    ) as response:
        return response.status, (await response.json())["error"]


async def test_each_bad_request_gets_its_error_and_runs_nowhere():
    """Each invalid request gets its error in the API's format, which says
    that nothing ran.  The engine receives none of them, and the next valid
    request is answered.
    """
    async with fleets.running(_plan()) as fleet:
        for body, path, status, code in BODIES:
            data = body if isinstance(body, bytes) else json.dumps(body)
            refusal = await _refusal(fleet, path, data, AUTHORIZED)
            assert (refusal[0], refusal[1]["code"]) == (status, code), body
            assert refusal[1]["ran"] == "not_run"
        for headers, status, code in HEADERS:
            refusal = await _refusal(
                fleet, COMPLETIONS, json.dumps(GOOD), headers
            )
            assert (refusal[0], refusal[1]["code"]) == (status, code), headers
            assert refusal[1]["ran"] == "not_run"
        assert await fleet.runs() == []
        async with fleet.session.post(
            fleet.routers[0].url + COMPLETIONS, json=GOOD, headers=AUTHORIZED
        ) as response:
            assert response.status == 200


async def test_unknown_api_key_gets_identical_errors():
    """An unknown API key must not reveal which models and services exist:
    all errors are identical except for the request ID.
    """
    plan = fleets.Plan(services=1)
    async with fleets.running(plan) as fleet:
        responses = set()
        for path in (COMPLETIONS, CHATS, "/services/desk/a", "/services/no/a"):
            status, error = await _refusal(
                fleet, path, json.dumps(GOOD), {"Authorization": "Bearer x"}
            )
            error.pop("request_id")
            responses.add((status, json.dumps(error, sort_keys=True)))
        assert len(responses) == 1


@pytest.mark.parametrize("stream", [False, True])
async def test_unmodified_openai_client_works(stream):
    async with fleets.running() as fleet:
        client = openai.AsyncOpenAI(
            api_key=fleets.api_key("acme"),
            base_url=f"{fleet.routers[0].url}/v1",
            max_retries=0,
        )
        async with client:
            listed = await client.models.list()
            assert [entry.id for entry in listed.data] == ["demo"]
            if stream:
                text = ""
                chunks = await client.chat.completions.create(
                    **CHAT, stream=True
                )
                async for chunk in chunks:
                    for choice in chunk.choices:
                        text += choice.delta.content or ""
            else:
                answer = await client.chat.completions.create(**CHAT)
                text = answer.choices[0].message.content
                assert answer.usage.completion_tokens == 3
            assert text == output.expected_text(CHATS, CHAT)
            with pytest.raises(openai.NotFoundError) as caught:
                await client.completions.create(model="no", prompt="x")
            assert caught.value.code == "unknown_model"
