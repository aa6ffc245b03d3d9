"""Eras of a store: the count of its restorations from an older copy."""

import attrs

from toucanrudder.observability import decisions
from toucanrudder.observability import metrics
from toucanrudder.store import interface

#: Largest number of digits accepted for an era.
MAX_DIGITS = 18


@attrs.define
class EraGuard:
    """Rejects responses from before the newest known restoration.

    Such a response is late: its content may have been lost, and its
    revisions have been issued again.

    Parameters
    ----------
    source : str
        Origin of the responses, for the log.
    newest : int
        Newest known era; 0 if none is known.

    Examples
    --------
    >>> guard = EraGuard("10.0.0.1:1")
    >>> guard.check(b"3"), guard.check(b"4")
    (3, 4)
    >>> guard.check(b"3")
    Traceback (most recent call last):
    ...
    toucanrudder.store.interface.MalformedObject: 10.0.0.1:1: era 3 after 4
    """

    source: str
    newest: int = 0

    def check(self, header: bytes | None) -> int:
        """Return the era of a response; 0 from a store without eras.

        Raises
        ------
        MalformedObject
            The era is not a number, is missing, or was superseded.
        """
        era = self._parse(header)
        if era < self.newest:
            raise self._malformed(f"era {era} after {self.newest}")
        if era > self.newest:
            self._advance(era)
        return era

    def _parse(self, header: bytes | None) -> int:
        if not header:
            if self.newest:
                raise self._malformed("era is missing")
            return 0
        if not header.isdigit() or len(header) > MAX_DIGITS:
            raise self._malformed("era is not a number")
        return int(header)

    def _advance(self, era: int) -> None:
        previous, self.newest = self.newest, era
        if not previous:
            return
        metrics.counter(
            "toucanrudder_store_restorations",
            "Restorations of the store from an older copy that were seen",
        ).add(1)
        decisions.record(decisions.StoreRestored(era=era, previous=previous))

    def _malformed(self, reason: str) -> interface.MalformedObject:
        return interface.MalformedObject(self.source, reason)
