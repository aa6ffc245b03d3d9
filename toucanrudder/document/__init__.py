"""Configuration document: types, schema, validation and differences."""

from toucanrudder.document.model import Document

__all__ = ("Document",)
