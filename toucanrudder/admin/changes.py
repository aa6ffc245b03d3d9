"""Changes of the configuration that operators ask for by name."""

from collections.abc import Iterator
import contextlib

import attrs

from toucanrudder import errors
from toucanrudder.admin import audit
from toucanrudder.admin import middleware
from toucanrudder.admin import state
from toucanrudder.document import model
from toucanrudder.document import serialisation

DRAIN_TRIES = 3


def _generation(known: state.State) -> int:
    accepted = known.current()
    return accepted.generation if accepted else 0


@contextlib.contextmanager
def audited(known: state.State, author: str, change: str) -> Iterator[None]:
    """Write the audit line of a change, also when it fails."""
    outcome = errors.Code.INTERNAL.value
    try:
        yield
        outcome = "done"
    except errors.RudderError as error:
        outcome = error.code.value
        raise
    finally:
        audit.record(author, change, _generation(known), outcome)


def _with_drained(
    document: model.Document, name: str, drained: bool
) -> model.Document:
    if name not in {upstream.name for upstream in document.upstreams}:
        raise errors.RudderError(
            errors.Code.NOT_FOUND,
            "no such upstream in the configuration",
            step=middleware.STEP,
            peer=name,
        )
    upstreams = tuple(
        attrs.evolve(upstream, drained=drained)
        if upstream.name == name
        else upstream
        for upstream in document.upstreams
    )
    return attrs.evolve(document, upstreams=upstreams)


async def set_drained(
    known: state.State, name: str, drained: bool, author: str
) -> model.Accepted:
    """Mark the upstream drained, or not, in the document in force.

    Parameters
    ----------
    known : state.State
        Providers of the daemon; a configuration must be in force.
    name : str
        The upstream.
    drained : bool
        Whether it is to be out of use.
    author : str
        Who asks.

    Returns
    -------
    model.Accepted
        What is in force afterwards; unchanged if nothing had to change.

    Raises
    ------
    RudderError
        ``not_found``, or what the write raised.
    """
    for tries_left in reversed(range(DRAIN_TRIES)):
        accepted = known.current()
        wanted = _with_drained(accepted.document, name, drained)
        if wanted == accepted.document:
            return accepted
        try:
            return await known.apply(
                serialisation.to_json(wanted), accepted.generation, author
            )
        except errors.RudderError as error:
            # Another operator's change may come between the read and the
            # write.  The drain does not depend on that change, so it is
            # made again on top of it, once this router has seen it.
            moved = known.current().generation > accepted.generation
            conflict = error.code is errors.Code.CONFIG_CONFLICT
            if not (conflict and moved and tries_left):
                raise
    raise AssertionError("unreachable")
