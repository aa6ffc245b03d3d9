"""Load that an upstream states with an answer, as text.  No I/O."""

import re

from toucanrudder.forwarding import model

#: One figure; a longer one is no count.
_COUNT = re.compile(r"[0-9]{1,6}")


def read(text: str | None) -> model.Load | None:
    """Return the stated load; None if there is none or it cannot be read.

    The figures are the running and waiting requests and the slots; a fourth
    says how long work takes there now, in percent of the usual time.

    Examples
    --------
    >>> read("3,1,8,250")
    Load(running=3, waiting=1, slots=8, slowness=2.5)
    >>> read("3,1,8").slowness, read("-1,0,8")
    (None, None)
    """
    figures = [figure.strip() for figure in (text or "").split(",")]
    if len(figures) not in (3, 4) or not all(
        _COUNT.fullmatch(figure) for figure in figures
    ):
        return None
    running, waiting, slots, *percent = map(int, figures)
    slowness = percent[0] / 100 if percent and percent[0] else None
    return model.Load(running, waiting, slots, slowness)
