import re

import pytest

from toucanrudder.testing import fleet as fleets
from toucanrudder.testing import proxy

BODY = {"model": "demo", "prompt": "is cell 7 clear?", "max_tokens": 3}
CHAT = {
    "model": "demo",
    "max_tokens": 3,
    "stream": True,
    "messages": [{"role": "user", "content": "is cell 7 clear?"}],
}
VARYING = (
    (re.compile(r"cmpl-[0-9a-f]{32}"), "cmpl-ID"),
    (re.compile(r'("created": ?)\d+'), r"\g<1>0"),
    (re.compile(r'("(?:x-)?request_id": ?)"[^"]*"'), r'\g<1>"ID"'),
    (re.compile(r": resume-token \S+"), ": resume-token TOKEN"),
)
HEADERS = ("content-type", "retry-after", "www-authenticate", "x-request-id")

SESSIONS = {
    "whole": ("POST", "/v1/completions", BODY, {}),
    "streamed": ("POST", "/v1/completions", BODY | {"stream": True}, {}),
    "chat": ("POST", "/v1/chat/completions", CHAT, {}),
    "models": ("GET", "/v1/models", None, {}),
    "unknown_model": (
        "POST",
        "/v1/completions",
        BODY | {"model": "other"},
        {},
    ),
    "unknown_key": (
        "POST",
        "/v1/completions",
        BODY,
        {"Authorization": "Bearer nobody"},
    ),
    "unknown_stream": ("GET", "/v1/streams/AAAA", None, {}),
    "wrong_type": ("POST", "/v1/completions", BODY | {"prompt": 7}, {}),
}


def _normalise(text):
    for pattern, replacement in VARYING:
        text = pattern.sub(replacement, text)
    return text


async def _session(fleet, method, path, body, headers):
    """Return the exchange as text, with varying parts replaced."""
    async with fleet.session.request(
        method,
        fleet.routers[0].url + path,
        json=body,
        headers=fleets.authorization() | {"X-Request-Id": "golden"} | headers,
    ) as response:
        lines = [f"{method} {path}", f"{response.status}"]
        for name in HEADERS:
            if name in response.headers:
                lines.append(f"{name}: {response.headers[name]}")
        raw = await response.read()
    return _normalise("\n".join([*lines, "", raw.decode()]))


@pytest.mark.parametrize("name", SESSIONS)
async def test_session(name, snapshot):
    """The exchange seen by the caller equals its snapshot, except for IDs,
    tokens and times.
    """
    async with fleets.running() as fleet:
        assert await _session(fleet, *SESSIONS[name]) == snapshot


@pytest.mark.parametrize(
    "action", [proxy.Action.CUT, proxy.Action.FREEZE, proxy.Action.DELAY]
)
async def test_connection_fault_does_not_change_the_session(action):
    """The connection to the engine is cut, frozen or delayed in the middle
    of the third event; the caller receives the same bytes as without fault.
    """
    async with fleets.running() as fleet:
        plain = await _session(fleet, *SESSIONS["chat"])
        proxied = fleet.proxies["engine-0"]
        rule = proxied.add(
            proxy.Rule(action, b"POST /v1/c", 2, partial=True, delay_s=0.2)
        )
        assert await _session(fleet, *SESSIONS["chat"]) == plain
        assert rule.struck == 1
