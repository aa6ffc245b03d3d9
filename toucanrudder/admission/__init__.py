"""Admission control: queueing, rate limits and usage caps."""

from toucanrudder.admission.limits import RateLimiter
from toucanrudder.admission.queue import AdmissionQueue

__all__ = ("AdmissionQueue", "RateLimiter")
