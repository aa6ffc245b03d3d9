"""Which era of its history a store answers from."""

import attrs

from toucanrudder.observability import decisions
from toucanrudder.observability import metrics
from toucanrudder.store import interface

#: Most digits of an era that is read.
MAX_DIGITS = 18


@attrs.define
class EraGuard:
    """Refuses answers from before the newest restoration that was seen.

    Such an answer was late: what it says may have been lost, and its
    revisions have been given out again.

    Parameters
    ----------
    source : str
        Whose answers, for the log.

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

    def check(self, said: bytes | None) -> int:
        """Return the era of an answer; 0 from a store that tells none.

        Raises
        ------
        MalformedObject
            It is no number, is missing, or was superseded.
        """
        era = self._read(said)
        if era < self.newest:
            raise self._strange(f"era {era} after {self.newest}")
        if era > self.newest:
            self._advance(era)
        return era

    def _read(self, said: bytes | None) -> int:
        if not said:
            if self.newest:
                raise self._strange("no era")
            return 0
        if not said.isdigit() or len(said) > MAX_DIGITS:
            raise self._strange("the era is no number")
        return int(said)

    def _advance(self, era: int) -> None:
        before, self.newest = self.newest, era
        if not before:
            return
        metrics.counter(
            "toucanrudder_store_restorations",
            "Restorations of the store from an older copy that were seen",
        ).add(1)
        decisions.record(decisions.StoreRestored(era=era, previous=before))

    def _strange(self, reason: str) -> interface.MalformedObject:
        return interface.MalformedObject(self.source, reason)
