"""Configuration changes that have an admin operation of their own."""

from collections.abc import Iterator
import contextlib

import attrs

from toucanrudder import errors
from toucanrudder.admin import audit
from toucanrudder.admin import middleware
from toucanrudder.admin import state
from toucanrudder.document import model
from toucanrudder.document import serialisation

MAX_DRAIN_ATTEMPTS = 3


def _current_generation(providers: state.State) -> int:
    accepted = providers.current()
    return accepted.generation if accepted else 0


@contextlib.contextmanager
def audited_change(
    providers: state.State, author: str, change: str
) -> Iterator[None]:
    """Write the audit line of a change, even if it fails."""
    outcome = errors.Code.INTERNAL.value
    try:
        yield
        outcome = "done"
    except errors.RudderError as error:
        outcome = error.code.value
        raise
    finally:
        audit.log_change(
            author, change, _current_generation(providers), outcome
        )


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
    providers: state.State, name: str, drained: bool, author: str
) -> model.Accepted:
    """Set or clear an upstream's drained mark in the current document.

    Parameters
    ----------
    providers : state.State
        Callables of the daemon; a configuration must be in force.
    name : str
        Name of the upstream.
    drained : bool
        Whether the upstream is to be drained.
    author : str
        Operator who requested the change.

    Returns
    -------
    model.Accepted
        Configuration in force afterwards; the current one if the mark was
        already as requested.

    Raises
    ------
    RudderError
        ``not_found``, or any error that the write raises.
    """
    for attempts_left in reversed(range(MAX_DRAIN_ATTEMPTS)):
        accepted = providers.current()
        updated = _with_drained(accepted.document, name, drained)
        if updated == accepted.document:
            return accepted
        try:
            return await providers.apply(
                serialisation.to_json(updated), accepted.generation, author
            )
        except errors.RudderError as error:
            # Another operator's change may be applied between the read and
            # the write.  The drain does not depend on it, so the drain is
            # retried on the new document once this router has received it.
            generation_advanced = (
                providers.current().generation > accepted.generation
            )
            is_conflict = error.code is errors.Code.CONFIG_CONFLICT
            if not (is_conflict and generation_advanced and attempts_left):
                raise
    raise AssertionError("unreachable")
