"""Check of a document before it is sent: mistakes, contradictions, changes.

Pure functions; nothing is sent or changed.
"""

from toucanrudder.document.check.checking import check
from toucanrudder.document.check.findings import Finding
from toucanrudder.document.check.findings import Kind
from toucanrudder.document.check.findings import Severity

__all__ = ("Finding", "Kind", "Severity", "check")
