"""Tests of the memory that a JSON text is counted with."""

import json
import random
import tracemalloc

import pytest

from toucanrudder.filters import body_size
from toucanrudder.http1 import json_text

TEXTS = {
    "plain": {"prompt": "x" * 1_000_000},
    "marks within strings": {"prompt": "a, b: [c] {d} " * 50_000},
    "escapes": {"prompt": '\\"[,' * 100_000},
    "Latin-1": {"prompt": "é" * 400_000},
    "beyond Latin-1": {"prompt": "ж" * 400_000},
    "one wide character": {"prompt": "x" * 1_000_000 + "\U0001f600"},
    "messages": {"messages": [{"role": "user", "content": "a"}] * 30_000},
    "empty lists": [[] for _ in range(200_000)],
    "empty objects": [{} for _ in range(200_000)],
    "nested lists": [[[[0]]] for _ in range(100_000)],
    "small objects": [{"a": 0} for _ in range(100_000)],
    "large objects": [dict.fromkeys(map(str, range(1_000)), 0)] * 100,
    "numbers": list(range(100_000, 400_000)),
    "floats": [number / 7 for number in range(100_000)],
    "short strings": ["ab"] * 200_000,
}


#: Memory that parsing any text needs.
PARSER_BYTES = 4_096


@pytest.mark.parametrize("escaped", [False, True])
@pytest.mark.parametrize("values", TEXTS.values(), ids=TEXTS.keys())
def test_parsed_values_need_no_more_than_is_counted(values, escaped):
    """Guards against a body of legal size that fills the memory."""
    text = json.dumps(values, ensure_ascii=escaped).encode()
    need = body_size.need_of_json(text)
    tracemalloc.start()
    try:
        parsed = json.loads(text)
        held_bytes, most_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert parsed == values
    held_bytes += len(text) - PARSER_BYTES
    most_bytes += len(text) - PARSER_BYTES
    assert held_bytes <= need.held_bytes
    assert most_bytes <= need.held_bytes + need.passing_bytes


def _count(value):
    if isinstance(value, dict):
        return 1 + sum(1 + _count(each) for each in value.values())
    if isinstance(value, list):
        return 1 + sum(map(_count, value))
    return 1


def _random_value(rng, depth):
    kind = rng.choice("nsbld" if depth else "ns")
    if kind == "n":
        return rng.randrange(10**6)
    if kind == "s":
        return "".join(rng.choices('a,:[{"\\é\u20ac\U0001f600 ', k=6))
    if kind == "b":
        return rng.choice((True, None))
    values = [_random_value(rng, depth - 1) for _ in range(rng.randrange(5))]
    if kind == "l":
        return values
    return {f'"k{number}\\': each for number, each in enumerate(values)}


@pytest.mark.parametrize("seed", range(20))
def test_every_value_is_counted(seed):
    rng = random.Random(seed)
    value = [_random_value(rng, 4) for _ in range(3_000)]
    text = json.dumps(value).encode()
    assert _count(value) <= json_text.count_values(text) + 1
    plain = json.dumps(value, ensure_ascii=False).encode()
    assert json_text.count_values(plain) == json_text.count_values(text)
