"""Choice of the accepted document that is in force."""

import enum

import attrs

from toucanrudder import errors
from toucanrudder.document import model


class Source(enum.Enum):
    """Origin of a candidate document."""

    STORE = "store"
    PEER = "peer"
    APPLY = "apply"


class Settled(enum.Enum):
    """Outcome of a write whose answer was lost."""

    DONE = "done"
    LOST_RACE = "lost_race"
    NOT_YET = "not_yet"
    UNKNOWN = "unknown"


@attrs.define(eq=False)
class ConfigurationConflict(errors.RudderError):
    """Error for a write that lost to another one; names the winner."""

    generation: int = attrs.field(default=0, kw_only=True)
    author: str = attrs.field(default="", kw_only=True)

    def as_body(self, request_id: str = "") -> dict:
        """Return the error body, with the winner's generation and author."""
        body = super().as_body(request_id)
        body["error"]["generation"] = self.generation
        body["error"]["author"] = self.author
        return body


def generation_of(accepted: model.Accepted | None) -> int:
    """Return the generation, or 0 when there is no document."""
    return accepted.generation if accepted else 0


def supersedes(
    candidate: model.Accepted,
    current: model.Accepted | None,
    source: Source,
) -> bool:
    """Return whether the candidate replaces the current document.

    A lower generation never does.  Two documents of the same generation
    exist only if the store was restored from an older copy and then written
    by routers that did not know of the later generation.  The store's
    document then wins, so that all routers agree.

    Parameters
    ----------
    candidate : model.Accepted
        Document read from the store, received from a peer, or applied.
    current : model.Accepted or None
        Document in force on this router.
    source : Source
        Origin of the candidate.

    Examples
    --------
    >>> from toucanrudder.document import model
    >>> old = model.Accepted(1, "a", "ann", model.Document())
    >>> new = model.Accepted(2, "b", "bob", model.Document())
    >>> supersedes(new, old, Source.PEER), supersedes(old, new, Source.STORE)
    (True, False)
    """
    if current is None or candidate.generation > current.generation:
        return True
    return (
        source is Source.STORE
        and candidate.generation == current.generation
        and candidate.apply_id != current.apply_id
    )


def write_outcome(
    written: model.Accepted,
    stored: model.Accepted | None,
    apply_ids: dict[int, str],
) -> Settled:
    """Return the outcome of a write whose answer was lost.

    Parameters
    ----------
    written : model.Accepted
        The document whose write got no answer.
    stored : model.Accepted or None
        Document that the store holds now.
    apply_ids : dict of int to str
        The ``apply_id`` of each generation known to this router.

    Returns
    -------
    Settled
        After ``NOT_YET`` the write may still take effect, as it can be in
        flight.
    """
    if stored is not None and stored.apply_id == written.apply_id:
        return Settled.DONE
    if generation_of(stored) < written.generation:
        return Settled.NOT_YET
    if stored.generation == written.generation:
        return Settled.LOST_RACE
    winner_id = apply_ids.get(written.generation)
    if winner_id is None:
        return Settled.UNKNOWN
    return Settled.DONE if winner_id == written.apply_id else Settled.LOST_RACE
