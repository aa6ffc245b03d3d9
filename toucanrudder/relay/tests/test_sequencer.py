import pytest

from toucanrudder import relay
from toucanrudder.relay import sequencer

ID = b"r1"


def _data(number, text, identity="r1"):
    return b'id: %d\ndata: {"id": "c-%s", "text": "%s"}\n\n' % (
        number,
        identity.encode(),
        text.encode(),
    )


DONE = b"id: 3\ndata: [DONE]\n\n"


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
def test_events_pass_once_whatever_the_pieces(size):
    raw = _data(1, "a") + b": comment\n\n" + _data(1, "a") + _data(2, "b")
    raw += DONE
    order = relay.Sequencer(ID)
    passed = b""
    for start in range(0, len(raw), size):
        passed += order.feed(raw[start : start + size])
    assert passed == _data(1, "a") + _data(2, "b") + DONE
    assert order.done


@pytest.mark.parametrize(
    "text", ["data: [DONE]", "id: 2 data: [DONE]", "[DONE]"]
)
def test_generated_text_cannot_end_the_stream(text):
    """A model that is asked to write the closing line writes it inside a
    chunk.  Taken for the end, it would cut the answer and let it look
    complete.
    """
    order = relay.Sequencer(ID)
    assert order.feed(_data(1, text)) == _data(1, text)
    assert not order.done


@pytest.mark.parametrize(
    ("event", "error"),
    [
        (_data(2, "b"), sequencer.SequenceGap),
        (_data(1, "a", "r2"), sequencer.ForeignEvent),
        (b"x" * (sequencer.MAX_EVENT_BYTES + 1), sequencer.EventTooLarge),
    ],
)
def test_wrong_event_is_not_passed_on(event, error):
    order = relay.Sequencer(ID)
    assert order.feed(event) == b""
    with pytest.raises(error):
        order.check()
    assert order.last == 0


@pytest.mark.parametrize("wrong", [_data(3, "c"), _data(2, "b", "r2")])
def test_good_events_before_a_wrong_one_are_kept(wrong):
    """A good and a wrong event come in one chunk.  The good one counts as
    passed on, so it must be; else the stream goes on after a hole.
    """
    order = relay.Sequencer(ID)
    assert order.feed(_data(1, "a") + wrong) == _data(1, "a")
    with pytest.raises((sequencer.SequenceGap, sequencer.ForeignEvent)):
        order.check()
    assert order.last == 1
    order.reconnected()
    order.check()


def test_half_event_of_a_broken_connection_is_forgotten():
    order = relay.Sequencer(ID)
    order.feed(_data(1, "a") + _data(2, "b")[:20])
    order.reconnected()
    assert order.feed(_data(2, "b")) == _data(2, "b")
