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
def test_each_event_is_relayed_once_for_any_chunk_size(size):
    raw = _data(1, "a") + b": comment\n\n" + _data(1, "a") + _data(2, "b")
    raw += DONE
    events = relay.Sequencer(ID)
    relayed = b""
    for start in range(0, len(raw), size):
        relayed += events.feed(raw[start : start + size])
    assert relayed == _data(1, "a") + _data(2, "b") + DONE
    assert events.done


@pytest.mark.parametrize(
    "text", ["data: [DONE]", "id: 2 data: [DONE]", "[DONE]"]
)
def test_generated_text_cannot_end_the_stream(text):
    """A model may generate the text of the closing line inside a chunk.
    If that ended the stream, a truncated answer would look complete.
    """
    events = relay.Sequencer(ID)
    assert events.feed(_data(1, text)) == _data(1, text)
    assert not events.done


@pytest.mark.parametrize(
    ("event", "error"),
    [
        (_data(2, "b"), sequencer.SequenceGap),
        (_data(1, "a", "r2"), sequencer.ForeignEvent),
        (b"x" * (sequencer.MAX_EVENT_BYTES + 1), sequencer.EventTooLarge),
    ],
)
def test_wrong_event_is_not_passed_on(event, error):
    events = relay.Sequencer(ID)
    assert events.feed(event) == b""
    with pytest.raises(error):
        events.check()
    assert events.last == 0


@pytest.mark.parametrize("invalid", [_data(3, "c"), _data(2, "b", "r2")])
def test_valid_events_before_an_invalid_one_are_kept(invalid):
    """A valid and an invalid event arrive in one chunk.  The valid one
    counts as relayed, so dropping it would leave a gap in the stream.
    """
    events = relay.Sequencer(ID)
    assert events.feed(_data(1, "a") + invalid) == _data(1, "a")
    with pytest.raises((sequencer.SequenceGap, sequencer.ForeignEvent)):
        events.check()
    assert events.last == 1
    events.reset_connection()
    events.check()


def test_partial_event_of_a_broken_connection_is_discarded():
    events = relay.Sequencer(ID)
    events.feed(_data(1, "a") + _data(2, "b")[:20])
    events.reset_connection()
    assert events.feed(_data(2, "b")) == _data(2, "b")
