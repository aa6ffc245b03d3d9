"""Identities of the parts that prompts share, at the own interface."""

import pytest

from toucanrudder import messages
from toucanrudder.router import state

CHAT, PLAIN = "/v1/chat/completions", "/v1/completions"


def request(path, body, keys=()):
    return messages.ModelRequest(
        request_id="r",
        organisation="acme",
        priority=messages.Priority.NORMAL,
        path=path,
        model="m",
        stream=False,
        prompt_tokens=10,
        prefix_keys=keys,
        body=body,
        body_sha256="00",
        first_token_by_s=1.0,
    )


def chat(*contents):
    return {"messages": [{"role": "user", "content": c} for c in contents]}


BLOCKS = tuple(bytes([number]) * 16 for number in range(9))

#: Path, body, keys of the prompt's blocks, and the number of parts.
ROWS = [
    (CHAT, chat("a"), (), 0),
    (CHAT, chat("a", "b", "c"), (), 2),
    (CHAT, chat("lone \ud800 surrogate", "b"), (), 1),
    (CHAT, {"messages": [{"role": "user"}, {"content": [1]}]}, (), 1),
    (PLAIN, {"prompt": "x"}, (), 0),
    (PLAIN, {"prompt": "x"}, BLOCKS, 4),
    (PLAIN, {"prompt": "x", "messages": 5}, BLOCKS[:3], 2),
]


@pytest.mark.parametrize(("path", "body", "keys", "count"), ROWS)
def test_each_prompt_has_its_parts(path, body, keys, count):
    parts = state.part_fingerprints(request(path, body, keys))
    assert len(set(parts)) == len(parts) == count


def test_message_is_the_same_part_wherever_it_stands():
    first = state.part_fingerprints(request(CHAT, chat("bad", "x")))
    second = state.part_fingerprints(request(CHAT, chat("a", "bad", "y")))
    assert set(first) < set(second)
