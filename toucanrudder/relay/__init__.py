"""Relay of an answer's events to the caller, complete and in order."""

from toucanrudder.relay.sequencer import SequenceGap
from toucanrudder.relay.sequencer import Sequencer

__all__ = ("SequenceGap", "Sequencer")
