"""Typed messages that pass between filters, decisions and tasks."""

from toucanrudder.messages.request import ModelRequest
from toucanrudder.messages.request import Priority

__all__ = ("ModelRequest", "Priority")
