"""At-most-once execution of requests that may not be repeated."""

from toucanrudder.claims.keeper import Claim
from toucanrudder.claims.keeper import ClaimKeeper
from toucanrudder.claims.record import Result

__all__ = ("Claim", "ClaimKeeper", "Result")
