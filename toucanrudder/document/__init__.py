"""The configuration document: its types, schema, checks and differences."""

from toucanrudder.document.model import Document

__all__ = ("Document",)
