"""Which weights made the KV cache of a run that broke off.  No I/O.

Engines may load new weights while their runs go on.  The memory of such a
run mixes both versions, and no engine may continue it from a copy.  A
registry learns of an engine's weights from its heartbeats, so what it says is
no proof: the engine may have loaded others since.
"""

import enum


class Memory(enum.Enum):
    """What is known of the weights that made a run's memory."""

    #: One version has made all of it.
    UNCHANGED = "unchanged"
    #: Its engine has loaded others meanwhile, or its copy is gone.
    CHANGED = "changed"
    #: Its engine may have loaded others meanwhile.
    UNPROVED = "unproved"


def judge(
    version: int,
    *,
    last_version: int | None,
    newest_version: int,
    is_current: bool,
) -> Memory:
    """Return what is known of a run's memory.

    Parameters
    ----------
    version : int
        Weights with which the run began.
    last_version : int or None
        Weights of its engine after the end of the run, by the engine's own
        report; None without one.  The weights of a process only rise.
    newest_version : int
        Newest weights that are known to be published; engines load no
        others.
    is_current : bool
        Whether newer ones would be known by now.

    Examples
    --------
    >>> def judged(last, newest):
    ...     memory = judge(
    ...         1, last_version=last, newest_version=newest, is_current=True
    ...     )
    ...     return memory.value
    >>> judged(None, 1), judged(None, 2), judged(1, 2), judged(2, 2)
    ('unchanged', 'unproved', 'unchanged', 'changed')
    """
    if last_version is not None:
        return Memory.UNCHANGED if last_version == version else Memory.CHANGED
    if newest_version > version or not is_current:
        return Memory.UNPROVED
    return Memory.UNCHANGED
