"""At-most-once execution of requests that must not be repeated."""

from toucanrudder.claims.decision import Limits
from toucanrudder.claims.keeper import Claim
from toucanrudder.claims.keeper import ClaimKeeper
from toucanrudder.claims.keeper import MAX_RESULT_BYTES
from toucanrudder.claims.record import Result

__all__ = ("MAX_RESULT_BYTES", "Claim", "ClaimKeeper", "Limits", "Result")
