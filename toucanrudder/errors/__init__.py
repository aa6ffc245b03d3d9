"""Error codes and the exceptions that carry them."""

from toucanrudder.errors.codes import Code
from toucanrudder.errors.codes import Ran
from toucanrudder.errors.exceptions import RudderError

__all__ = ("Code", "Ran", "RudderError")
