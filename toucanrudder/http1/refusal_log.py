"""Log lines of refusals, bounded in number however many there are."""

import logging

LOG = logging.getLogger(__name__)

#: Seconds between two lines for the same code.
INTERVAL_S = 1.0


class RefusalLog:
    """Writes at most one line a second for each code."""

    def __init__(self):
        self._logged_at_s: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def record(self, code: str, now_s: float) -> None:
        """Log a refusal, or count it for the next line.

        Parameters
        ----------
        code : str
            Reason of the refusal.
        now_s : float
            Monotonic time in seconds.
        """
        last_s = self._logged_at_s.get(code)
        if last_s is not None and now_s < last_s + INTERVAL_S:
            self._unlogged[code] = self._unlogged.get(code, 0) + 1
            return
        self._logged_at_s[code] = now_s
        others = self._unlogged.pop(code, 0)
        if others:
            LOG.info("request refused: %s, as %d before", code, others)
        else:
            LOG.info("request refused: %s", code)
