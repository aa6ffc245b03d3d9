"""Access to the platform's object API."""

from toucanrudder.store.interface import ObjectStore
from toucanrudder.store.interface import StoredObject

__all__ = ("ObjectStore", "StoredObject")
