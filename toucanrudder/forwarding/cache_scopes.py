"""Which organisations share cached parts of prompts.  No I/O.

The scopes follow from the configuration alone, so that all routers agree,
also those that start later.
"""

from collections.abc import Iterable
import hashlib
import json

from toucanrudder.forwarding import model

#: Bytes of the digest that names a set of organisations.
DIGEST_BYTES = 8


def own_scope(organisation: str) -> str:
    """Return the scope that only one organisation uses.

    Examples
    --------
    >>> own_scope("acme")
    'own/acme'
    """
    return f"own/{organisation}"


def shared_scope(organisations: Iterable[model.Organisation]) -> str:
    """Return the scope that all organisations use that are not isolated.

    It differs for each set of isolated organisations.  So none of them has
    left parts in the scope that the others use.

    Examples
    --------
    >>> north = model.Organisation("north", frozenset())
    >>> south = model.Organisation("south", frozenset(), is_isolated=True)
    >>> shared_scope([north]), shared_scope([north, south])
    ('', 'shared/f991aec1fb0f1fdd')
    """
    isolated = sorted(each.name for each in organisations if each.is_isolated)
    if not isolated:
        return ""
    digest = hashlib.blake2b(
        json.dumps(isolated).encode(), digest_size=DIGEST_BYTES
    )
    return f"shared/{digest.hexdigest()}"
