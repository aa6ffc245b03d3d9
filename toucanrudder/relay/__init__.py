"""Passing an answer on, event by event, complete and in order."""

from toucanrudder.relay.sequencer import SequenceGap
from toucanrudder.relay.sequencer import Sequencer

__all__ = ("SequenceGap", "Sequencer")
