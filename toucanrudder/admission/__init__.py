"""Who goes first, and who is refused at once."""

from toucanrudder.admission.limits import RateLimiter
from toucanrudder.admission.queue import AdmissionQueue

__all__ = ("AdmissionQueue", "RateLimiter")
