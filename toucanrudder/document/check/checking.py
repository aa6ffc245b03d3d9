"""The check as a whole."""

from toucanrudder.document import model
from toucanrudder.document import validation
from toucanrudder.document.check import changes
from toucanrudder.document.check import findings
from toucanrudder.document.check import limits
from toucanrudder.document.check import mistakes
from toucanrudder.document.check import reachability


def check(
    data: object, in_force: model.Document | None = None
) -> tuple[findings.Finding, ...]:
    """Return all findings on a document.

    Parameters
    ----------
    data : object
        The document as decoded JSON.
    in_force : model.Document or None
        What to compare it with; None compares with nothing.

    Returns
    -------
    tuple of findings.Finding
        Only errors if there are any: what an invalid document would mean
        is not known.

    Examples
    --------
    >>> data = {"organisations": [], "models": [], "upstreams": []}
    >>> [finding.message for finding in check(data)]
    ['no organisation has a key: every request is refused']
    """
    try:
        document = validation.parse(data)
    except validation.DocumentInvalid as error:
        return tuple(mistakes.find(data, error.problems))
    found = [*reachability.find(document), *limits.find(document)]
    if in_force is not None:
        found += changes.find(in_force, document)
    return tuple(found)
