"""Differences between two documents, entry by entry."""

import functools

import attrs

from toucanrudder.document import model


@attrs.frozen
class Change:
    """One difference between two documents.

    Parameters
    ----------
    path : str
        Path of the value; list entries go by name, as in
        ``upstreams[e1].drained``.
    before, after : object
        Old and new value; None where the entry does not exist.
    """

    path: str
    before: object
    after: object


@functools.singledispatch
def _compare(old: object, new: object, path: str) -> list[Change]:
    return [] if old == new else [Change(path, old, new)]


@_compare.register
def _(old: tuple, new: object, path: str) -> list[Change]:
    if not all(hasattr(entry, "name") for entry in (*old, *new)):
        return [] if old == new else [Change(path, old, new)]
    before = {entry.name: entry for entry in old}
    after = {entry.name: entry for entry in new}
    changes = []
    for name in sorted(before | after):
        changes += _entry(before.get(name), after.get(name), f"{path}[{name}]")
    return changes


def _entry(old: object, new: object, path: str) -> list[Change]:
    if old is None or new is None:
        return [Change(path, old, new)]
    return _compare(old, new, path)


def _fields(old: object, new: object, path: str) -> list[Change]:
    changes = []
    for field in attrs.fields(type(old)):
        inner = f"{path}.{field.name}" if path else field.name
        changes += _compare(
            getattr(old, field.name), getattr(new, field.name), inner
        )
    return changes


for _type in (
    model.Document,
    model.Organisation,
    model.Model,
    model.Upstream,
    model.Service,
    model.Policy,
):
    _compare.register(_type, _fields)


def compare(old: model.Document, new: model.Document) -> tuple[Change, ...]:
    """Return every difference between two documents.

    Parameters
    ----------
    old, new : model.Document
        The documents before and after.

    Returns
    -------
    tuple of Change
        Differences in the order of the document's fields, then by name.

    Examples
    --------
    >>> from toucanrudder.document import model
    >>> old = model.Document()
    >>> new = model.Document(policy=model.Policy(max_tries=2))
    >>> compare(old, new)
    (Change(path='policy.max_tries', before=3, after=2),)
    """
    return tuple(_compare(old, new, ""))
