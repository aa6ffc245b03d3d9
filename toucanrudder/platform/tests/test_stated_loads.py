"""The load header of upstreams' answers."""

import pytest

from toucanrudder.forwarding import model
from toucanrudder.http1 import message
from toucanrudder.platform import dialect

CALL = model.Call("id1", "h", "/")
UPSTREAM = model.Upstream("u1", "s", "10.0.0.1:80")

#: Header value, and the load that is read from it.
LOADS = {
    "three figures": (b"3,1,8", model.Load(3, 1, 8)),
    "usual": (b"3,1,8,100", model.Load(3, 1, 8, 1.0)),
    "slower": (b"3,1,8,250", model.Load(3, 1, 8, 2.5)),
    "faster": (b"3,1,8,40", model.Load(3, 1, 8, 0.4)),
    "spaces": (b" 3, 1 ,8 , 250 ", model.Load(3, 1, 8, 2.5)),
    "no percentage": (b"3,1,8,0", model.Load(3, 1, 8)),
    "leading zeros": (b"03,001,8,0250", model.Load(3, 1, 8, 2.5)),
    "negative": (b"-1,0,8", None),
    "negative percentage": (b"1,0,8,-100", None),
    "sign": (b"+1,0,8", None),
    "fraction": (b"1,0,8,99.5", None),
    "underscore": (b"1_0,0,8", None),
    "other digits": (b"\xb2,0,8", None),
    "words": (b"busy", None),
    "not a number": (b"1,0,8,nan", None),
    "huge": (b"1,0,8,10000000", None),
    "very long": (b"1,0," + 5_000 * b"9", None),
    "empty": (b"", None),
    "blank": (b"  ", None),
    "blank figure": (b"1,,8", None),
    "blank percentage": (b"1,0,8,", None),
    "two figures": (b"1,0", None),
    "five figures": (b"1,0,8,100,7", None),
    "none": (None, None),
}


@pytest.mark.parametrize(("value", "load"), LOADS.values(), ids=LOADS.keys())
def test_load_in_a_header(value, load):
    headers = () if value is None else ((b"Server-Load", value),)
    facts = dialect.PlatformDialect().answer_facts(
        CALL, UPSTREAM, message.AnswerHead(200, headers)
    )
    assert facts.load == load
