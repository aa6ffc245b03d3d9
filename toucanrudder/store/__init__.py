"""Access to the object API of the platform."""

from toucanrudder.store.interface import ObjectStore
from toucanrudder.store.interface import StoredObject

__all__ = ("ObjectStore", "StoredObject")
