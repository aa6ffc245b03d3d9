"""Error codes and the exception that carries them."""

from toucanrudder.errors.codes import Code
from toucanrudder.errors.codes import Ran
from toucanrudder.errors.exceptions import RudderError

__all__ = ("Code", "Ran", "RudderError")
